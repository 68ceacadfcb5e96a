package config_test

import (
	"fmt"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/config"
)

// TestExamples guards against example configurations that no longer load, or that no
// longer have the sizes and data centres of the deployments.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		name    string
		pool    persimmoncart.PoolName
		engines int
		regions map[persimmoncart.Region]int // number of data centres by region
	}{
		{"dar-jaouz", "hull-llm", 20, map[persimmoncart.Region]int{"sfax-coast": 2, "kasserine-hl": 1}},
		{"peachthread", "match-writers", 12, map[persimmoncart.Region]int{"ga-north": 2, "ga-south": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join("..", "..", "examples", c.name)
			files, err := filepath.Glob(filepath.Join(dir, "*.*"))
			assert.NilError(t, err)
			s, err := config.LoadStatic(files...)
			assert.NilError(t, err)
			x := s.Snapshot()
			pool := x.Pools[c.pool]
			assert.Equal(t, pool.Prefill+pool.Decode, c.engines)
			engines, applications := 0, 0
			centres := map[persimmoncart.DataCentre]persimmoncart.Region{}
			for _, e := range x.Endpoints {
				centres[e.DataCentre] = e.Region
				if e.Pool == c.pool {
					engines++
				} else {
					applications++
				}
			}
			regions := map[persimmoncart.Region]int{}
			for _, r := range centres {
				regions[r]++
			}
			assert.Equal(t, engines, c.engines)
			assert.Equal(t, applications, 3)
			assert.DeepEqual(t, regions, c.regions)
			assert.Assert(t, x.Sheet != nil && len(x.Accounts) == 3 && len(x.Links) == 2)
		})
	}
}

func ExampleParseYAML() {
	_, issues := config.ParseYAML("routes.yaml", []byte("routes:\n  - {name: drafts, pool: hull, color: red}\n"))
	fmt.Println(issues)
	// Output:
	// routes.yaml:2:32: routes[0].color: unknown field; want one of body, class, hedge, limit, models, name, pool, repeat, timeout
}
