// Package order plans the desired state of the engines from the capacity
// planners' sheet, and sends orders to engines that differ from it. Planning runs
// on one instance at a time, reconciling on one instance of each data centre: the
// holder of a lease.
package order

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// maxDemandRatio is the largest plausible ratio between the demand of a day and
// that of the sheet before it. Peaks of single hours are higher, but no holiday
// changes the sum of a whole day as much.
const maxDemandRatio = 5

// Sizes returns the sizes in force for a pool: the rows of today's sheet, or those
// of an earlier day if today's sheet is missing or implausible, or the pool's own
// sizes if there are no rows. The warning is empty if today's sheet is in force.
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

// sheetInForce returns the sheet in force, or nil. Shift is the time between the
// sheet's own day and the day that it is used for. The warning gives the reason why
// today's sheet is not in force.
func sheetInForce(s *persimmoncart.Snapshot, now time.Time) (sheet *persimmoncart.Sheet, shift time.Duration, warning string) {
	today := now.UTC().Truncate(24 * time.Hour)
	i := -1
	for n, sheet := range s.Sheets {
		// Outside the hours of today's sheet, the pools' own sizes are in force.
		if from, to := span(sheet); sheet.Day.Equal(today) || (!now.Before(from) && now.Before(to)) {
			i = n
		}
	}
	reason := fmt.Sprintf("there is no sheet of %s", today.Format(time.DateOnly))
	day := today
	if i >= 0 {
		problem := ""
		if i > 0 {
			problem = Implausible(s.Sheets[i], s.Sheets[i-1])
		}
		if problem == "" {
			return s.Sheets[i], 0, ""
		}
		day = s.Sheets[i].Day
		reason = fmt.Sprintf("the sheet of %s is not used: %s", day.Format(time.DateOnly), problem)
	} else {
		i = sort.Search(len(s.Sheets), func(n int) bool { return s.Sheets[n].Day.After(now) })
	}
	if i == 0 {
		return nil, 0, reason + "; there is no earlier sheet, so the pools' own sizes are in force"
	}
	old := s.Sheets[i-1]
	return old, day.Sub(old.Day), fmt.Sprintf("%s; the sheet of %s is in force", reason, old.Day.Format(time.DateOnly))
}

// Implausible compares a sheet with the sheet before it and returns the reason why
// it is implausible, or an empty string if it is plausible.
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

// demand returns the number of requests that the sheet expects and the highest
// planned number of replicas of each pool.
func demand(s *persimmoncart.Sheet) (requests float64, replicas map[persimmoncart.PoolName]int) {
	replicas = map[persimmoncart.PoolName]int{}
	for _, r := range s.Rows {
		requests += r.Rate * r.To.Sub(r.From).Seconds()
		replicas[r.Pool] = max(replicas[r.Pool], r.Prefill+r.Decode)
	}
	return requests, replicas
}

// span returns the first and last time that a sheet covers.
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

// applyOverride scales rows so that their sums are the sizes of the override. It
// keeps the proportions of the models.
func applyOverride(rows []persimmoncart.SheetRow, o *persimmoncart.Override) []persimmoncart.SheetRow {
	prefill, decode := 0, 0
	for _, r := range rows {
		prefill, decode = prefill+r.Prefill, decode+r.Decode
	}
	out := append([]persimmoncart.SheetRow(nil), rows...)
	remainingPrefill, remainingDecode := o.Prefill, o.Decode
	for i := range out {
		last := i == len(out)-1
		out[i].Prefill = apportion(out[i].Prefill, prefill, o.Prefill, &remainingPrefill, last)
		out[i].Decode = apportion(out[i].Decode, decode, o.Decode, &remainingDecode, last)
	}
	return out
}

// apportion returns the share of newSum for a row that has size of oldSum, and
// subtracts it from the remainder. The last row gets the whole remainder.
func apportion(size, oldSum, newSum int, remainder *int, last bool) int {
	n := *remainder
	if !last && oldSum > 0 {
		n = min(int(math.Round(float64(size)*float64(newSum)/float64(oldSum))), *remainder)
	} else if !last {
		n = 0
	}
	*remainder -= n
	return n
}
