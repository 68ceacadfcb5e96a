// Package order turns the planners' sheet into the recorded desired state of
// the engines, and orders the engines towards it. Both run on one instance at
// a time, the holder of a lease.
package order

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// maxDemandRatio is how far a day's demand may differ from the day before. Crests
// of single hours are higher, but no holiday changes a whole day's sum as much.
const maxDemandRatio = 5

// Sizes returns the sizes in force for a pool: the sheet's rows, or those of an
// earlier day when today's sheet is missing or absurd, or the pool's own sizes.
// The warning is empty if today's sheet is in force.
func Sizes(s *persimmoncart.Snapshot, pool *persimmoncart.Pool, now time.Time) (rows []persimmoncart.SheetRow, warning string) {
	sheet, shift, warning := sheetInForce(s, now)
	if sheet != nil {
		for _, r := range sheet.Rows {
			if r.Pool == pool.Name && !now.Add(-shift).Before(r.From) && now.Add(-shift).Before(r.To) {
				rows = append(rows, r)
			}
		}
	}
	if len(rows) == 0 && len(pool.Models) > 0 {
		rows = []persimmoncart.SheetRow{{Decode: pool.Decode, Model: pool.Models[0], Pool: pool.Name, Prefill: pool.Prefill}}
	}
	if o := s.Overrides[pool.Name]; o != nil && (o.Until.IsZero() || now.Before(o.Until)) {
		rows = applyOverride(rows, o)
	}
	return rows, warning
}

// sheetInForce returns the sheet in force and how much later than its own day it is used.
func sheetInForce(s *persimmoncart.Snapshot, now time.Time) (sheet *persimmoncart.Sheet, shift time.Duration, warning string) {
	today := now.UTC().Truncate(24 * time.Hour)
	i := -1
	for n, x := range s.Sheets {
		// Outside the hours of today's sheet, the pools' own sizes are in force.
		if from, to := span(x); x.Day.Equal(today) || (!now.Before(from) && now.Before(to)) {
			i = n
		}
	}
	reason := fmt.Sprintf("there is no sheet of %s", today.Format(time.DateOnly))
	day := today
	if i >= 0 {
		why := ""
		if i > 0 {
			why = Implausible(s.Sheets[i], s.Sheets[i-1])
		}
		if why == "" {
			return s.Sheets[i], 0, ""
		}
		day = s.Sheets[i].Day
		reason = fmt.Sprintf("the sheet of %s is not used: %s", day.Format(time.DateOnly), why)
	} else {
		i = sort.Search(len(s.Sheets), func(n int) bool { return s.Sheets[n].Day.After(now) })
	}
	if i == 0 {
		return nil, 0, reason + "; there is no earlier sheet, so the pools' own sizes are in force"
	}
	old := s.Sheets[i-1]
	return old, day.Sub(old.Day), fmt.Sprintf("%s; the sheet of %s is in force", reason, old.Day.Format(time.DateOnly))
}

// Implausible says why a sheet cannot be meant, compared with the sheet before it.
// The result is empty if it can.
func Implausible(sheet, before *persimmoncart.Sheet) string {
	work, replicas := demand(sheet)
	oldWork, oldReplicas := demand(before)
	for pool, n := range oldReplicas {
		switch now, found := replicas[pool]; {
		case !found:
			return fmt.Sprintf("it has no row for pool %s", pool)
		case n > 0 && now == 0:
			return fmt.Sprintf("it leaves pool %s without replicas", pool)
		}
	}
	if oldWork > 0 && (work > oldWork*maxDemandRatio || work < oldWork/maxDemandRatio) {
		return fmt.Sprintf("its demand is %.2g times that of %s", work/oldWork, before.Day.Format(time.DateOnly))
	}
	return ""
}

// demand returns the requests of a day and the highest sizes of its pools.
func demand(s *persimmoncart.Sheet) (requests float64, replicas map[persimmoncart.PoolName]int) {
	replicas = map[persimmoncart.PoolName]int{}
	for _, r := range s.Rows {
		requests += r.Rate * r.To.Sub(r.From).Seconds()
		replicas[r.Pool] = max(replicas[r.Pool], r.Prefill+r.Decode)
	}
	return requests, replicas
}

// span returns the time that a sheet covers.
func span(s *persimmoncart.Sheet) (from, to time.Time) {
	for i, r := range s.Rows {
		if i == 0 || r.From.Before(from) {
			from = r.From
		}
		if i == 0 || r.To.After(to) {
			to = r.To
		}
	}
	return from, to
}

// applyOverride replaces the sums of rows, keeping the proportions of models.
func applyOverride(rows []persimmoncart.SheetRow, o *persimmoncart.Override) []persimmoncart.SheetRow {
	prefill, decode := 0, 0
	for _, r := range rows {
		prefill, decode = prefill+r.Prefill, decode+r.Decode
	}
	out := append([]persimmoncart.SheetRow(nil), rows...)
	leftPrefill, leftDecode := o.Prefill, o.Decode
	for i := range out {
		last := i == len(out)-1
		out[i].Prefill = apportion(out[i].Prefill, prefill, o.Prefill, &leftPrefill, last)
		out[i].Decode = apportion(out[i].Decode, decode, o.Decode, &leftDecode, last)
	}
	return out
}

// apportion returns a row's apportion of a new sum; the last row takes what is left.
func apportion(size, sum, want int, left *int, last bool) int {
	n := *left
	if !last && sum > 0 {
		n = min(int(math.Round(float64(size)*float64(want)/float64(sum))), *left)
	} else if !last {
		n = 0
	}
	*left -= n
	return n
}
