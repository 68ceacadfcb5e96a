// Command run soaks the real program under random faults and reports violations of
// its invariants.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/persimmoncart/persimmoncart/internal/soak"
)

// options are the flags of the command.
type options struct {
	Break     string        `long:"break" description:"invariant to violate on purpose; the run passes if the violation is found"`
	Callers   int           `long:"callers" default:"4" description:"callers of each instance"`
	Instances int           `long:"instances" default:"4" description:"instances of the program"`
	Length    time.Duration `long:"length" default:"8s" description:"duration of the faults"`
	Logs      string        `long:"logs" description:"folder for the logs of seeds that fail; empty keeps none"`
	Parallel  int           `long:"parallel" default:"2" description:"seeds at the same time"`
	Program   string        `long:"program" default:"bin/persimmoncart" description:"path of the program"`
	Quotas    bool          `long:"quotas" description:"limits of accounts are enforced and checked"`
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     uint64        `long:"seeds" default:"1" description:"number of seeds"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	// An interrupt starts no further seeds and lets the running ones end, so that
	// none of their processes is left over. The processes do not get it.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGHUP, syscall.SIGTERM)
	code := run(ctx, &o)
	stop()
	os.Exit(code)
}

// run runs the seeds until ctx is done and returns the exit code: 1 if an invariant
// was violated, a planted violation was not found, or not all seeds were run.
func run(ctx context.Context, o *options) int {
	var group sync.WaitGroup
	var mutex sync.Mutex
	failed, started := 0, 0
	semaphore := make(chan struct{}, max(1, o.Parallel))
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		semaphore <- struct{}{}
		if ctx.Err() != nil {
			fmt.Printf("interrupted before seed %d\n", seed)
			break
		}
		started++
		group.Go(func() {
			defer func() { <-semaphore }()
			ok := runSeed(o, seed)
			mutex.Lock()
			defer mutex.Unlock()
			if !ok {
				failed++
			}
		})
	}
	group.Wait()
	fmt.Printf("%d passed, %d failed\n", started-failed, failed)
	if failed > 0 || ctx.Err() != nil {
		return 1
	}
	return 0
}

// runSeed runs one seed and prints its violations. It reports whether there were
// none or, with --break, whether the planted one was found.
func runSeed(o *options, seed uint64) bool {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer func() { _ = os.RemoveAll(folder) }()
	var log bytes.Buffer
	s := &soak.Soak{
		Violate: soak.Invariant(o.Break), Callers: o.Callers, Folder: folder, Instances: o.Instances,
		FaultDuration: o.Length, Log: &log, Program: o.Program, Quotas: o.Quotas, Seed: seed,
	}
	violations, err := s.Run(context.Background())
	if err != nil {
		fmt.Printf("seed %d: not run: %v\n", seed, err)
		return false
	}
	for _, v := range violations {
		fmt.Printf("seed %d: %s\n", seed, v)
	}
	resumptions, completed := s.ResumedStreams()
	fmt.Printf("seed %d: %d requests, %d of %d resumed streams completed, %d crashes, %d violations\n",
		seed, s.Requests(), completed, resumptions, s.Crashes(), len(violations))
	if o.Quotas {
		most, allowed := s.MostBulkTokens()
		fmt.Printf("seed %d: the account above its limit used up to %d tokens in a window, %d are allowed\n", seed, most, allowed)
	}
	if o.Break != "" {
		for _, v := range violations {
			if v.Invariant == soak.Invariant(o.Break) {
				return true
			}
		}
		return false
	}
	if len(violations) > 0 && o.Logs != "" {
		if err := saveLogs(o.Logs, seed, folder, log.Bytes()); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	return len(violations) == 0
}

// saveLogs copies the settings and logs of a failed seed from folder into a folder
// below root, with the log of the faults.
func saveLogs(root string, seed uint64, folder string, log []byte) error {
	target := filepath.Join(root, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(target, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(target, "faults.log"), log, 0o600); err != nil {
		return err
	}
	return os.CopyFS(target, os.DirFS(folder))
}
