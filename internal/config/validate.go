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
	capabilityFence  = "fence"
	capabilityRepeat = "repeat"
	capabilitySender = "sender"
)

// Bounds of fields. They catch slips of the pen, such as a rate in kilobytes or
// a time in milliseconds; no deployment comes near them.
const (
	maxAccountKeys = 16
	maxBodyBytes   = 64 << 20
	maxCount       = 100_000
	maxRate        = 1e6
	maxTimeout     = time.Hour
	maxTokenRate   = 1e9
	minTimeout     = 10 * time.Millisecond
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]{0,63}$`)

// Validate returns the faults of a whole configuration: ranges, references, sizes
// of pools against their endpoints, and overlapping times.
func Validate(objects []*Object) Issues {
	c := &validator{
		accounts: map[KeyHash]string{}, addrs: map[netip.AddrPort]string{}, centres: map[string]string{},
		endpoints: map[string]*EndpointSpec{}, engineCounts: map[string]int{}, pools: map[string]*PoolSpec{},
		regions: map[string]bool{}, keys: map[Key]bool{},
	}
	for _, o := range objects {
		c.index(o)
	}
	for _, o := range objects {
		if !o.malformed {
			c.object(o)
		}
	}
	return c.issues
}

// A validator holds what the checks look up.
type validator struct {
	accounts     map[KeyHash]string        // account of each key hash
	addrs        map[netip.AddrPort]string // endpoint of each address
	centres      map[string]string         // region of each data centre
	endpoints    map[string]*EndpointSpec
	engineCounts map[string]int // number of engines of each pool
	issues       Issues
	keys         map[Key]bool
	pools        map[string]*PoolSpec
	regions      map[string]bool
}

// addIssue records an issue.
func (c *validator) addIssue(o *Object, field, want, format string, args ...any) {
	c.issues = append(c.issues, o.issue(field, fmt.Sprintf(format, args...), want))
}

// index records the names that others refer to.
func (c *validator) index(o *Object) {
	if c.keys[o.Key] {
		c.addIssue(o, "name", "each name once", "%s is given twice", o.Key)
	}
	c.keys[o.Key] = true
	switch s := o.Spec.(type) {
	case *EndpointSpec:
		c.endpoints[s.Name] = s
		c.regions[s.Region] = true
		if r, found := c.centres[s.DataCentre]; found && r != s.Region {
			c.addIssue(o, "region", r, "data centre %s is in region %s for other endpoints", s.DataCentre, r)
		} else {
			c.centres[s.DataCentre] = s.Region
		}
		if s.Role != persimmoncart.RoleApplication {
			c.engineCounts[s.Pool]++
		}
	case *PoolSpec:
		c.pools[s.Name] = s
	}
}

// object checks one object.
func (c *validator) object(o *Object) {
	if !namePattern.MatchString(o.Key.Name) {
		c.addIssue(o, "name", "1 to 64 letters, digits, dots, colons, dashes or underscores", "name %q", truncate(o.Key.Name))
	}
	switch s := o.Spec.(type) {
	case *AccountSpec:
		c.account(o, s)
	case *DrainSpec:
		c.checkReference(o, "name", "endpoint", s.Name, c.endpoints[s.Name] != nil)
	case *EndpointSpec:
		c.endpoint(o, s)
	case *LinkSpec:
		c.link(o, s)
	case *OverrideSpec:
		c.checkPoolSize(o, "", s.Name, s.Prefill, s.Decode)
	case *PinSpec:
		c.pin(o, s)
	case *PoolSpec:
		c.pool(o, s)
	case *RouteSpec:
		c.route(o, s)
	case *SheetSpec:
		c.sheet(o, s)
	}
}

func (c *validator) account(o *Object, s *AccountSpec) {
	c.checkFloat(o, "rate", s.Rate, 0.001, maxRate)
	c.checkFloat(o, "tokens", s.TokenRate, 0, maxTokenRate)
	c.checkInt(o, "burst", s.Burst, 1, maxCount)
	c.checkInt(o, "weight", s.Weight, 1, 1000)
	if len(s.Keys) > maxAccountKeys {
		c.addIssue(o, "keys", fmt.Sprintf("at most %d", maxAccountKeys), "%d keys", len(s.Keys))
	}
	for i, h := range s.Keys {
		if other, found := c.accounts[h]; found {
			c.addIssue(o, fmt.Sprintf("keys.[%d]", i), "a key of its own for each account", "key is also a key of account %s", other)
		}
		c.accounts[h] = s.Name
	}
}

func (c *validator) endpoint(o *Object, s *EndpointSpec) {
	c.checkInt(o, "slots", s.Slots, 1, maxCount)
	c.checkName(o, "centre", s.DataCentre)
	c.checkName(o, "region", s.Region)
	if !s.Addr.IsValid() || s.Addr.Port() == 0 || s.Addr.Addr().IsUnspecified() {
		c.addIssue(o, "addr", "an IP address and port such as 10.1.0.7:8000", "address %q", s.Addr)
	} else if other, found := c.addrs[s.Addr]; found {
		c.addIssue(o, "addr", "an address of its own for each endpoint", "address %s is also that of endpoint %s", s.Addr, other)
	}
	c.addrs[s.Addr] = s.Name
	for i, x := range s.Capabilities {
		if x != capabilityFence && x != capabilityRepeat && x != capabilitySender {
			c.addIssue(o, fmt.Sprintf("checks.[%d]", i), "fence, repeat or sender", "unknown check %q", truncate(x))
		}
	}
	pool := c.pools[s.Pool]
	c.checkReference(o, "pool", "pool", s.Pool, pool != nil)
	switch s.Role {
	case persimmoncart.RoleApplication:
		c.checkInt(o, "blocks", s.Blocks, 0, 0)
	case persimmoncart.RoleDecode, persimmoncart.RolePrefill:
		c.checkInt(o, "blocks", s.Blocks, 1, 1<<24)
	default:
		c.addIssue(o, "role", "prefill, decode or application", "no role")
	}
	if pool == nil {
		return
	}
	if (pool.Role == persimmoncart.RoleApplication) != (s.Role == persimmoncart.RoleApplication) {
		c.addIssue(o, "role", "application in a pool with role application, otherwise prefill or decode", "role %s does not fit pool %s", s.Role, s.Pool)
	}
	c.checkModels(o, s.Models, pool)
}

func (c *validator) link(o *Object, s *LinkSpec) {
	c.checkFloat(o, "rate", s.Rate, 1, 1e12)
	c.checkFloat(o, "price", s.Price, 0, maxRate)
	for field, x := range map[string]string{"from": s.From, "to": s.To} {
		_, centre := c.centres[x]
		c.checkReference(o, field, "data centre or region", x, centre || c.regions[x])
	}
	if s.From == s.To {
		c.addIssue(o, "to", "two different places", "link leads from %q to itself", truncate(s.From))
	}
}

func (c *validator) pin(o *Object, s *PinSpec) {
	x := c.endpoints[s.Name]
	c.checkReference(o, "name", "endpoint", s.Name, x != nil)
	if x == nil {
		return
	}
	if x.Role == persimmoncart.RoleApplication || s.Role == persimmoncart.RoleApplication {
		c.addIssue(o, "role", "a pin of an engine to prefill or decode", "application endpoints have no other role")
	}
	if pool := c.pools[x.Pool]; pool != nil {
		c.checkModels(o, s.Models, pool)
	}
}

func (c *validator) pool(o *Object, s *PoolSpec) {
	if s.Role == persimmoncart.RoleApplication {
		if s.Prefill != 0 || s.Decode != 0 || len(s.Models) > 0 {
			c.addIssue(o, "role", "no prefill, decode or models", "pool of application endpoints has sizes or models")
		}
		return
	}
	if s.Role != 0 {
		c.addIssue(o, "role", "application, or no role for a pool of engines", "role %s", s.Role)
	}
	if len(s.Models) == 0 {
		c.addIssue(o, "models", "at least one model", "pool of engines without models")
	}
	c.checkDuration(o, "first", s.FirstTokenTarget, minTimeout, maxTimeout)
	c.checkDuration(o, "pace", s.TokenGapTarget, time.Millisecond, time.Minute)
	c.checkPoolSize(o, "", s.Name, s.Prefill, s.Decode)
}

func (c *validator) route(o *Object, s *RouteSpec) {
	c.checkDuration(o, "timeout", s.Timeout, minTimeout, maxTimeout)
	if s.MaxBodyBytes < 1 || s.MaxBodyBytes > maxBodyBytes {
		c.addIssue(o, "body", fmt.Sprintf("1 to %d bytes", maxBodyBytes), "body of %d bytes", s.MaxBodyBytes)
	}
	c.checkInt(o, "limit", s.MaxOutputTokens, 0, maxCount)
	pool := c.pools[s.Pool]
	c.checkReference(o, "pool", "pool", s.Pool, pool != nil)
	if s.Hedge && !s.Idempotent {
		c.addIssue(o, "hedge", "repeat: true, or no hedge", "calls that may not be repeated cannot be hedged")
	}
	if pool == nil {
		return
	}
	if pool.Role != persimmoncart.RoleApplication && len(s.Models) == 0 {
		c.addIssue(o, "models", "at least one model of the pool", "route to a pool of engines without models")
	}
	c.checkModels(o, s.Models, pool)
}

func (c *validator) sheet(o *Object, s *SheetSpec) {
	day, err := time.Parse(time.DateOnly, s.Name)
	if err != nil {
		c.addIssue(o, "name", "a date such as 2026-12-04", "day %q", truncate(s.Name))
		return
	}
	if len(s.Rows) == 0 {
		c.addIssue(o, "rows", "at least one row", "sheet without rows")
	}
	for i := range s.Rows {
		c.row(o, fmt.Sprintf("rows.[%d]", i), day, &s.Rows[i])
	}
	for pool, rows := range groupByPool(s.Rows) {
		c.checkOverlaps(o, pool, rows)
	}
}

// row checks one row of a sheet on its own.
func (c *validator) row(o *Object, path string, day time.Time, r *RowSpec) {
	pool := c.pools[r.Pool]
	c.checkReference(o, path+".pool", "pool", r.Pool, pool != nil)
	c.checkFloat(o, path+".rate", r.Rate, 0, maxRate)
	c.checkInt(o, path+".prefill", r.Prefill, 0, maxCount)
	c.checkInt(o, path+".decode", r.Decode, 0, maxCount)
	// Sheets may be written in any zone, so a day spans up to 14 hours more.
	if !r.From.Before(r.To) || r.From.Before(day.Add(-14*time.Hour)) || r.To.After(day.Add(38*time.Hour)) {
		c.addIssue(o, path+".to", "a span within the day", "span from %s to %s", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339))
	}
	if r.Rate > 0 && (r.Prefill == 0 || r.Decode == 0) {
		c.addIssue(o, path+".decode", "at least one replica of each role", "demand of %v requests a second without replicas", r.Rate)
	}
	if pool != nil {
		if pool.Role == persimmoncart.RoleApplication {
			c.addIssue(o, path+".pool", "a pool of engines", "pool %s has application endpoints", r.Pool)
		} else if !slices.Contains(pool.Models, r.Model) {
			c.addIssue(o, path+".model", "one of "+strings.Join(pool.Models, ", "), "pool %s has no model %q", r.Pool, truncate(r.Model))
		}
	}
}

// checkOverlaps checks the rows of one pool against each other: one row for each
// model at any time, and no more replicas in sum than the pool has.
func (c *validator) checkOverlaps(o *Object, pool string, rows []indexedRow) {
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].From.Before(rows[j].From) })
	var open []indexedRow
	for _, r := range rows {
		open = slices.DeleteFunc(open, func(other indexedRow) bool { return !other.To.After(r.From) })
		sum := r.Prefill + r.Decode
		for _, other := range open {
			sum += other.Prefill + other.Decode
			if other.Model == r.Model {
				c.addIssue(o, fmt.Sprintf("rows.[%d].from", r.index), "one row for each pool, model and time",
					"row overlaps row %d of pool %s and model %s", other.index+1, pool, r.Model)
			}
		}
		if have := c.engineCounts[pool]; sum > have && c.pools[pool] != nil {
			c.addIssue(o, fmt.Sprintf("rows.[%d].decode", r.index), fmt.Sprintf("at most %d, the pool's engines", have),
				"%d replicas of pool %s in sum at %s", sum, pool, r.From.Format("15:04"))
		}
		open = append(open, r)
	}
}

// An indexedRow row knows its place in the sheet.
type indexedRow struct {
	RowSpec
	index int
}

// groupByPool groups rows by pool.
func groupByPool(rows []RowSpec) map[string][]indexedRow {
	out := map[string][]indexedRow{}
	for i, r := range rows {
		out[r.Pool] = append(out[r.Pool], indexedRow{RowSpec: r, index: i})
	}
	return out
}

// checkPoolSize checks the checkPoolSize of a pool against its endpoints.
func (c *validator) checkPoolSize(o *Object, prefix, pool string, prefill, decode int) {
	c.checkInt(o, prefix+"prefill", prefill, 0, maxCount)
	c.checkInt(o, prefix+"decode", decode, 0, maxCount)
	if c.pools[pool] == nil {
		c.checkReference(o, "name", "pool", pool, false)
		return
	}
	if have := c.engineCounts[pool]; prefill+decode > have {
		c.addIssue(o, prefix+"decode", fmt.Sprintf("at most %d, the pool's engines", have), "prefill and decode sum to %d", prefill+decode)
	}
}

// checkModels checks that the pool has the models.
func (c *validator) checkModels(o *Object, names []string, pool *PoolSpec) {
	for i, m := range names {
		if !slices.Contains(pool.Models, m) {
			want := "one of " + strings.Join(pool.Models, ", ")
			if len(pool.Models) == 0 {
				want = "no models"
			}
			c.addIssue(o, fmt.Sprintf("models.[%d]", i), want, "pool %s has no model %q", pool.Name, truncate(m))
		}
	}
}

// checkReference checks a reference.
func (c *validator) checkReference(o *Object, field, kind, name string, exists bool) {
	if !exists {
		c.addIssue(o, field, "the name of a "+kind+" in the configuration", "no %s %q", kind, truncate(name))
	}
}

// checkName checks that a field is there.
func (c *validator) checkName(o *Object, field, value string) {
	if !namePattern.MatchString(value) {
		c.addIssue(o, field, "1 to 64 letters, digits, dots, colons, dashes or underscores", "%s %q", field, truncate(value))
	}
}

func (c *validator) checkFloat(o *Object, field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		c.addIssue(o, field, fmt.Sprintf("%v to %v", low, high), "%v is out of range", value)
	}
}

func (c *validator) checkInt(o *Object, field string, value, low, high int) {
	if value < low || value > high {
		c.addIssue(o, field, fmt.Sprintf("%d to %d", low, high), "%d is out of range", value)
	}
}

func (c *validator) checkDuration(o *Object, field string, value Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		c.addIssue(o, field, fmt.Sprintf("%v to %v", low, high), "%v is out of range", d)
	}
}

// ValidateParsed returns the faults of form together with those that Check finds, as
// Issues, or nil.
func ValidateParsed(form Issues, objects []*Object) error {
	return append(slices.Clone(form), Validate(objects)...).sorted()
}
