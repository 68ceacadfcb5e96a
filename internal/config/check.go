package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

const (
	checkFence  = "fence"
	checkRepeat = "repeat"
	checkSender = "sender"
)

// Bounds of fields. They catch slips of the pen, such as a rate in kilobytes or
// a time in milliseconds; no deployment comes near them.
const (
	maxBody    = 64 << 20
	maxCount   = 100_000
	maxKeys    = 16
	maxRate    = 1e6
	maxTimeout = time.Hour
	maxTokens  = 1e9
	minTimeout = 10 * time.Millisecond
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]{0,63}$`)

// Check returns the faults of a whole configuration: ranges, references, sizes
// of pools against their endpoints, and overlapping times.
func Check(entries []*Entry) Issues {
	c := &checker{
		accounts: map[KeyHash]string{}, addrs: map[netip.AddrPort]string{}, centres: map[string]string{},
		endpoints: map[string]*EndpointSpec{}, engines: map[string]int{}, pools: map[string]*PoolSpec{},
		regions: map[string]bool{}, seen: map[Key]bool{},
	}
	for _, e := range entries {
		c.collect(e)
	}
	for _, e := range entries {
		if !e.broken {
			c.entry(e)
		}
	}
	return c.issues
}

// A checker holds what the checks look up.
type checker struct {
	accounts  map[KeyHash]string        // account of each key hash
	addrs     map[netip.AddrPort]string // endpoint of each address
	centres   map[string]string         // region of each data centre
	endpoints map[string]*EndpointSpec
	engines   map[string]int // number of engines of each pool
	issues    Issues
	pools     map[string]*PoolSpec
	regions   map[string]bool
	seen      map[Key]bool
}

// add records an issue.
func (c *checker) add(e *Entry, field, want, format string, args ...any) {
	c.issues = append(c.issues, e.issue(field, fmt.Sprintf(format, args...), want))
}

// collect records the names that others refer to.
func (c *checker) collect(e *Entry) {
	if c.seen[e.Key] {
		c.add(e, "name", "each name once", "%s is given twice", e.Key)
	}
	c.seen[e.Key] = true
	switch s := e.Spec.(type) {
	case *EndpointSpec:
		c.endpoints[s.Name] = s
		c.regions[s.Region] = true
		if r, found := c.centres[s.Centre]; found && r != s.Region {
			c.add(e, "region", r, "data centre %s is in region %s for other endpoints", s.Centre, r)
		} else {
			c.centres[s.Centre] = s.Region
		}
		if s.Role != persimmoncart.RoleApplication {
			c.engines[s.Pool]++
		}
	case *PoolSpec:
		c.pools[s.Name] = s
	}
}

// entry checks one object.
func (c *checker) entry(e *Entry) {
	if !namePattern.MatchString(e.Key.Name) {
		c.add(e, "name", "1 to 64 letters, digits, dots, colons, dashes or underscores", "name %q", short(e.Key.Name))
	}
	switch s := e.Spec.(type) {
	case *AccountSpec:
		c.account(e, s)
	case *DrainSpec:
		c.refer(e, "name", "endpoint", s.Name, c.endpoints[s.Name] != nil)
	case *EndpointSpec:
		c.endpoint(e, s)
	case *LinkSpec:
		c.link(e, s)
	case *OverrideSpec:
		c.sizes(e, "", s.Name, s.Prefill, s.Decode)
	case *PinSpec:
		c.pin(e, s)
	case *PoolSpec:
		c.pool(e, s)
	case *RouteSpec:
		c.route(e, s)
	case *SheetSpec:
		c.sheet(e, s)
	}
}

func (c *checker) account(e *Entry, s *AccountSpec) {
	c.float(e, "rate", s.Rate, 0.001, maxRate)
	c.float(e, "tokens", s.Tokens, 0, maxTokens)
	c.integer(e, "burst", s.Burst, 1, maxCount)
	c.integer(e, "weight", s.Weight, 1, 1000)
	if len(s.Keys) > maxKeys {
		c.add(e, "keys", fmt.Sprintf("at most %d", maxKeys), "%d keys", len(s.Keys))
	}
	for i, h := range s.Keys {
		if other, found := c.accounts[h]; found {
			c.add(e, fmt.Sprintf("keys.[%d]", i), "a key of its own for each account", "key is also a key of account %s", other)
		}
		c.accounts[h] = s.Name
	}
}

func (c *checker) endpoint(e *Entry, s *EndpointSpec) {
	c.integer(e, "slots", s.Slots, 1, maxCount)
	c.text(e, "centre", s.Centre)
	c.text(e, "region", s.Region)
	if !s.Addr.IsValid() || s.Addr.Port() == 0 || s.Addr.Addr().IsUnspecified() {
		c.add(e, "addr", "an IP address and port such as 10.1.0.7:8000", "address %q", s.Addr)
	} else if other, found := c.addrs[s.Addr]; found {
		c.add(e, "addr", "an address of its own for each endpoint", "address %s is also that of endpoint %s", s.Addr, other)
	}
	c.addrs[s.Addr] = s.Name
	for i, x := range s.Checks {
		if x != checkFence && x != checkRepeat && x != checkSender {
			c.add(e, fmt.Sprintf("checks.[%d]", i), "fence, repeat or sender", "unknown check %q", short(x))
		}
	}
	pool := c.pools[s.Pool]
	c.refer(e, "pool", "pool", s.Pool, pool != nil)
	switch s.Role {
	case persimmoncart.RoleApplication:
		c.integer(e, "blocks", s.Blocks, 0, 0)
	case persimmoncart.RoleDecode, persimmoncart.RolePrefill:
		c.integer(e, "blocks", s.Blocks, 1, 1<<24)
	default:
		c.add(e, "role", "prefill, decode or application", "no role")
	}
	if pool == nil {
		return
	}
	if (pool.Role == persimmoncart.RoleApplication) != (s.Role == persimmoncart.RoleApplication) {
		c.add(e, "role", "application in a pool with role application, otherwise prefill or decode", "role %s does not fit pool %s", s.Role, s.Pool)
	}
	c.subset(e, s.Models, pool)
}

func (c *checker) link(e *Entry, s *LinkSpec) {
	c.float(e, "rate", s.Rate, 1, 1e12)
	c.float(e, "price", s.Price, 0, maxRate)
	for field, x := range map[string]string{"from": s.From, "to": s.To} {
		_, centre := c.centres[x]
		c.refer(e, field, "data centre or region", x, centre || c.regions[x])
	}
	if s.From == s.To {
		c.add(e, "to", "two different places", "link leads from %q to itself", short(s.From))
	}
}

func (c *checker) pin(e *Entry, s *PinSpec) {
	x := c.endpoints[s.Name]
	c.refer(e, "name", "endpoint", s.Name, x != nil)
	if x == nil {
		return
	}
	if x.Role == persimmoncart.RoleApplication || s.Role == persimmoncart.RoleApplication {
		c.add(e, "role", "a pin of an engine to prefill or decode", "application endpoints have no other role")
	}
	if pool := c.pools[x.Pool]; pool != nil {
		c.subset(e, s.Models, pool)
	}
}

func (c *checker) pool(e *Entry, s *PoolSpec) {
	if s.Role == persimmoncart.RoleApplication {
		if s.Prefill != 0 || s.Decode != 0 || len(s.Models) > 0 {
			c.add(e, "role", "no prefill, decode or models", "pool of application endpoints has sizes or models")
		}
		return
	}
	if s.Role != 0 {
		c.add(e, "role", "application, or no role for a pool of engines", "role %s", s.Role)
	}
	if len(s.Models) == 0 {
		c.add(e, "models", "at least one model", "pool of engines without models")
	}
	c.span(e, "first", s.First, minTimeout, maxTimeout)
	c.span(e, "pace", s.Pace, time.Millisecond, time.Minute)
	c.sizes(e, "", s.Name, s.Prefill, s.Decode)
}

func (c *checker) route(e *Entry, s *RouteSpec) {
	c.span(e, "timeout", s.Timeout, minTimeout, maxTimeout)
	if s.Body < 1 || s.Body > maxBody {
		c.add(e, "body", fmt.Sprintf("1 to %d bytes", maxBody), "body of %d bytes", s.Body)
	}
	c.integer(e, "limit", s.Limit, 0, maxCount)
	pool := c.pools[s.Pool]
	c.refer(e, "pool", "pool", s.Pool, pool != nil)
	if s.Hedge && !s.Repeat {
		c.add(e, "hedge", "repeat: true, or no hedge", "calls that may not be repeated cannot be hedged")
	}
	if pool == nil {
		return
	}
	if pool.Role != persimmoncart.RoleApplication && len(s.Models) == 0 {
		c.add(e, "models", "at least one model of the pool", "route to a pool of engines without models")
	}
	c.subset(e, s.Models, pool)
}

func (c *checker) sheet(e *Entry, s *SheetSpec) {
	day, err := time.Parse(time.DateOnly, s.Name)
	if err != nil {
		c.add(e, "name", "a date such as 2026-12-04", "day %q", short(s.Name))
		return
	}
	if len(s.Rows) == 0 {
		c.add(e, "rows", "at least one row", "sheet without rows")
	}
	for i := range s.Rows {
		c.row(e, fmt.Sprintf("rows.[%d]", i), day, &s.Rows[i])
	}
	for pool, rows := range byPool(s.Rows) {
		c.overlaps(e, pool, rows)
	}
}

// row checks one row of a sheet on its own.
func (c *checker) row(e *Entry, at string, day time.Time, r *RowSpec) {
	pool := c.pools[r.Pool]
	c.refer(e, at+".pool", "pool", r.Pool, pool != nil)
	c.float(e, at+".rate", r.Rate, 0, maxRate)
	c.integer(e, at+".prefill", r.Prefill, 0, maxCount)
	c.integer(e, at+".decode", r.Decode, 0, maxCount)
	// Sheets may be written in any zone, so a day spans up to 14 hours more.
	if !r.From.Before(r.To) || r.From.Before(day.Add(-14*time.Hour)) || r.To.After(day.Add(38*time.Hour)) {
		c.add(e, at+".to", "a span within the day", "span from %s to %s", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339))
	}
	if r.Rate > 0 && (r.Prefill == 0 || r.Decode == 0) {
		c.add(e, at+".decode", "at least one replica of each role", "demand of %v requests a second without replicas", r.Rate)
	}
	if pool != nil {
		if pool.Role == persimmoncart.RoleApplication {
			c.add(e, at+".pool", "a pool of engines", "pool %s has application endpoints", r.Pool)
		} else if !slices.Contains(pool.Models, r.Model) {
			c.add(e, at+".model", "one of "+strings.Join(pool.Models, ", "), "pool %s has no model %q", r.Pool, short(r.Model))
		}
	}
}

// overlaps checks the rows of one pool against each other: one row for each
// model at any time, and no more replicas in sum than the pool has.
func (c *checker) overlaps(e *Entry, pool string, rows []indexed) {
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].From.Before(rows[j].From) })
	var open []indexed
	for _, r := range rows {
		open = slices.DeleteFunc(open, func(o indexed) bool { return !o.To.After(r.From) })
		sum := r.Prefill + r.Decode
		for _, o := range open {
			sum += o.Prefill + o.Decode
			if o.Model == r.Model {
				c.add(e, fmt.Sprintf("rows.[%d].from", r.index), "one row for each pool, model and time",
					"row overlaps row %d of pool %s and model %s", o.index+1, pool, r.Model)
			}
		}
		if have := c.engines[pool]; sum > have && c.pools[pool] != nil {
			c.add(e, fmt.Sprintf("rows.[%d].decode", r.index), fmt.Sprintf("at most %d, the pool's engines", have),
				"%d replicas of pool %s in sum at %s", sum, pool, r.From.Format("15:04"))
		}
		open = append(open, r)
	}
}

// An indexed row knows its place in the sheet.
type indexed struct {
	RowSpec
	index int
}

// byPool groups rows by pool.
func byPool(rows []RowSpec) map[string][]indexed {
	out := map[string][]indexed{}
	for i, r := range rows {
		out[r.Pool] = append(out[r.Pool], indexed{RowSpec: r, index: i})
	}
	return out
}

// sizes checks the sizes of a pool against its endpoints.
func (c *checker) sizes(e *Entry, prefix, pool string, prefill, decode int) {
	c.integer(e, prefix+"prefill", prefill, 0, maxCount)
	c.integer(e, prefix+"decode", decode, 0, maxCount)
	if c.pools[pool] == nil {
		c.refer(e, "name", "pool", pool, false)
		return
	}
	if have := c.engines[pool]; prefill+decode > have {
		c.add(e, prefix+"decode", fmt.Sprintf("at most %d, the pool's engines", have), "prefill and decode sum to %d", prefill+decode)
	}
}

// subset checks that the pool has the models.
func (c *checker) subset(e *Entry, names []string, pool *PoolSpec) {
	for i, m := range names {
		if !slices.Contains(pool.Models, m) {
			want := "one of " + strings.Join(pool.Models, ", ")
			if len(pool.Models) == 0 {
				want = "no models"
			}
			c.add(e, fmt.Sprintf("models.[%d]", i), want, "pool %s has no model %q", pool.Name, short(m))
		}
	}
}

// refer checks a reference.
func (c *checker) refer(e *Entry, field, kind, name string, found bool) {
	if !found {
		c.add(e, field, "the name of a "+kind+" in the configuration", "no %s %q", kind, short(name))
	}
}

// text checks that a field is there.
func (c *checker) text(e *Entry, field, value string) {
	if !namePattern.MatchString(value) {
		c.add(e, field, "1 to 64 letters, digits, dots, colons, dashes or underscores", "%s %q", field, short(value))
	}
}

func (c *checker) float(e *Entry, field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.add(e, field, fmt.Sprintf("%v to %v", low, high), "%v is out of range", value)
	}
}

func (c *checker) integer(e *Entry, field string, value, low, high int) {
	if value < low || value > high {
		c.add(e, field, fmt.Sprintf("%d to %d", low, high), "%d is out of range", value)
	}
}

func (c *checker) span(e *Entry, field string, value Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		c.add(e, field, fmt.Sprintf("%v to %v", low, high), "%v is out of range", d)
	}
}

// Problems returns the faults of form together with those that Check finds, as
// Issues, or nil.
func Problems(form Issues, entries []*Entry) error {
	return append(slices.Clone(form), Check(entries)...).sorted()
}
