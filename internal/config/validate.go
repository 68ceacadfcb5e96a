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

// Values of EndpointSpec.Capabilities.
const (
	capabilityFence  = "fence"  // refuses requests with an outdated fencing token
	capabilityRepeat = "repeat" // runs calls with the same idempotency key once
	capabilitySender = "sender" // authenticates the sender of an order
)

// Bounds of fields. They catch typing errors and wrong units, such as a rate in
// kilobytes or a time in milliseconds, and are far above the values of real
// deployments.
const (
	maxAccountKeys = 16 // API keys of one account
	maxBodyBytes   = 64 << 20
	maxCount       = 100_000 // slots, replicas, burst requests or output tokens
	maxRate        = 1e6     // requests per second, or currency units per gigabyte
	maxTimeout     = time.Hour
	maxTokenRate   = 1e9 // tokens per second
	minTimeout     = 10 * time.Millisecond
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]{0,63}$`)

// Validate checks a whole configuration and returns its faults: values out of
// range, references to missing objects, pools with larger sizes than they have
// engines, and sheet rows that overlap in time. Malformed objects are not checked
// themselves, but references to them resolve.
func Validate(objects []*Object) Issues {
	v := &validator{
		accounts: map[KeyHash]string{}, addrs: map[netip.AddrPort]string{}, centres: map[string]string{},
		endpoints: map[string]*EndpointSpec{}, engineCounts: map[string]int{}, pools: map[string]*PoolSpec{},
		regions: map[string]bool{}, keys: map[Key]bool{},
	}
	for _, o := range objects {
		v.index(o)
	}
	for _, o := range objects {
		if !o.malformed {
			v.object(o)
		}
	}
	return v.issues
}

// validator holds the indexes that the checks use and the issues found so far.
type validator struct {
	accounts     map[KeyHash]string        // account name by key hash
	addrs        map[netip.AddrPort]string // endpoint name by address
	centres      map[string]string         // region by data centre
	endpoints    map[string]*EndpointSpec
	engineCounts map[string]int // number of engines by pool
	issues       Issues
	keys         map[Key]bool
	pools        map[string]*PoolSpec
	regions      map[string]bool
}

// addIssue records an issue at a field of an object.
func (v *validator) addIssue(o *Object, field, want, format string, args ...any) {
	v.issues = append(v.issues, o.issue(field, fmt.Sprintf(format, args...), want))
}

// index records the names that other objects refer to, and reports duplicate
// names and data centres in two regions.
func (v *validator) index(o *Object) {
	if v.keys[o.Key] {
		v.addIssue(o, "name", "each name once", "%s is given twice", o.Key)
	}
	v.keys[o.Key] = true
	switch s := o.Spec.(type) {
	case *EndpointSpec:
		v.endpoints[s.Name] = s
		v.regions[s.Region] = true
		if r, found := v.centres[s.DataCentre]; found && r != s.Region {
			v.addIssue(o, "region", r, "data centre %s is in region %s for other endpoints", s.DataCentre, r)
		} else {
			v.centres[s.DataCentre] = s.Region
		}
		if s.Role != persimmoncart.RoleApplication {
			v.engineCounts[s.Pool]++
		}
	case *PoolSpec:
		v.pools[s.Name] = s
	}
}

// object checks one object by its kind.
func (v *validator) object(o *Object) {
	if !namePattern.MatchString(o.Key.Name) {
		v.addIssue(o, "name", "1 to 64 letters, digits, dots, colons, dashes or underscores", "name %q", truncate(o.Key.Name))
	}
	switch s := o.Spec.(type) {
	case *AccountSpec:
		v.account(o, s)
	case *DrainSpec:
		v.checkReference(o, "name", "endpoint", s.Name, v.endpoints[s.Name] != nil)
	case *EndpointSpec:
		v.endpoint(o, s)
	case *LinkSpec:
		v.link(o, s)
	case *OverrideSpec:
		v.checkPoolSize(o, "", s.Name, s.Prefill, s.Decode)
	case *PinSpec:
		v.pin(o, s)
	case *PoolSpec:
		v.pool(o, s)
	case *RouteSpec:
		v.route(o, s)
	case *SheetSpec:
		v.sheet(o, s)
	}
}

func (v *validator) account(o *Object, s *AccountSpec) {
	v.checkFloat(o, "rate", s.Rate, 0.001, maxRate)
	v.checkFloat(o, "tokens", s.TokenRate, 0, maxTokenRate)
	v.checkInt(o, "burst", s.Burst, 1, maxCount)
	v.checkInt(o, "weight", s.Weight, 1, 1000)
	if len(s.Keys) > maxAccountKeys {
		v.addIssue(o, "keys", fmt.Sprintf("at most %d", maxAccountKeys), "%d keys", len(s.Keys))
	}
	for i, h := range s.Keys {
		if other, found := v.accounts[h]; found {
			v.addIssue(o, fmt.Sprintf("keys.[%d]", i), "a key of its own for each account", "key is also a key of account %s", other)
		}
		v.accounts[h] = s.Name
	}
}

func (v *validator) endpoint(o *Object, s *EndpointSpec) {
	v.checkInt(o, "slots", s.Slots, 1, maxCount)
	v.checkName(o, "centre", s.DataCentre)
	v.checkName(o, "region", s.Region)
	if !s.Addr.IsValid() || s.Addr.Port() == 0 || s.Addr.Addr().IsUnspecified() {
		v.addIssue(o, "addr", "an IP address and port such as 10.1.0.7:8000", "address %q", s.Addr)
	} else if other, found := v.addrs[s.Addr]; found {
		v.addIssue(o, "addr", "an address of its own for each endpoint", "address %s is also that of endpoint %s", s.Addr, other)
	}
	v.addrs[s.Addr] = s.Name
	for i, x := range s.Capabilities {
		if x != capabilityFence && x != capabilityRepeat && x != capabilitySender {
			v.addIssue(o, fmt.Sprintf("checks.[%d]", i), "fence, repeat or sender", "unknown check %q", truncate(x))
		}
	}
	pool := v.pools[s.Pool]
	v.checkReference(o, "pool", "pool", s.Pool, pool != nil)
	switch s.Role {
	case persimmoncart.RoleApplication:
		v.checkInt(o, "blocks", s.Blocks, 0, 0)
	case persimmoncart.RoleDecode, persimmoncart.RolePrefill:
		v.checkInt(o, "blocks", s.Blocks, 1, 1<<24)
	default:
		v.addIssue(o, "role", "prefill, decode or application", "no role")
	}
	if pool == nil {
		return
	}
	if (pool.Role == persimmoncart.RoleApplication) != (s.Role == persimmoncart.RoleApplication) {
		v.addIssue(o, "role", "application in a pool with role application, otherwise prefill or decode", "role %s does not fit pool %s", s.Role, s.Pool)
	}
	v.checkModels(o, s.Models, pool)
}

func (v *validator) link(o *Object, s *LinkSpec) {
	v.checkFloat(o, "rate", s.Rate, 1, 1e12)
	v.checkFloat(o, "price", s.Price, 0, maxRate)
	for field, x := range map[string]string{"from": s.From, "to": s.To} {
		_, centre := v.centres[x]
		v.checkReference(o, field, "data centre or region", x, centre || v.regions[x])
	}
	if s.From == s.To {
		v.addIssue(o, "to", "two different places", "link leads from %q to itself", truncate(s.From))
	}
}

func (v *validator) pin(o *Object, s *PinSpec) {
	x := v.endpoints[s.Name]
	v.checkReference(o, "name", "endpoint", s.Name, x != nil)
	if x == nil {
		return
	}
	if x.Role == persimmoncart.RoleApplication || s.Role == persimmoncart.RoleApplication {
		v.addIssue(o, "role", "a pin of an engine to prefill or decode", "application endpoints have no other role")
	}
	if pool := v.pools[x.Pool]; pool != nil {
		v.checkModels(o, s.Models, pool)
	}
}

func (v *validator) pool(o *Object, s *PoolSpec) {
	if s.Role == persimmoncart.RoleApplication {
		if s.Prefill != 0 || s.Decode != 0 || len(s.Models) > 0 {
			v.addIssue(o, "role", "no prefill, decode or models", "pool of application endpoints has sizes or models")
		}
		return
	}
	if s.Role != 0 {
		v.addIssue(o, "role", "application, or no role for a pool of engines", "role %s", s.Role)
	}
	if len(s.Models) == 0 {
		v.addIssue(o, "models", "at least one model", "pool of engines without models")
	}
	v.checkDuration(o, "first", s.FirstTokenTarget, minTimeout, maxTimeout)
	v.checkDuration(o, "pace", s.TokenGapTarget, time.Millisecond, time.Minute)
	v.checkPoolSize(o, "", s.Name, s.Prefill, s.Decode)
}

func (v *validator) route(o *Object, s *RouteSpec) {
	v.checkDuration(o, "timeout", s.Timeout, minTimeout, maxTimeout)
	if s.MaxBodyBytes < 1 || s.MaxBodyBytes > maxBodyBytes {
		v.addIssue(o, "body", fmt.Sprintf("1 to %d bytes", maxBodyBytes), "body of %d bytes", s.MaxBodyBytes)
	}
	v.checkInt(o, "limit", s.MaxOutputTokens, 0, maxCount)
	pool := v.pools[s.Pool]
	v.checkReference(o, "pool", "pool", s.Pool, pool != nil)
	if s.Hedge && !s.Idempotent {
		v.addIssue(o, "hedge", "repeat: true, or no hedge", "calls that may not be repeated cannot be hedged")
	}
	if pool == nil {
		return
	}
	if pool.Role != persimmoncart.RoleApplication && len(s.Models) == 0 {
		v.addIssue(o, "models", "at least one model of the pool", "route to a pool of engines without models")
	}
	v.checkModels(o, s.Models, pool)
}

func (v *validator) sheet(o *Object, s *SheetSpec) {
	day, err := time.Parse(time.DateOnly, s.Name)
	if err != nil {
		v.addIssue(o, "name", "a date such as 2026-12-04", "day %q", truncate(s.Name))
		return
	}
	if len(s.Rows) == 0 {
		v.addIssue(o, "rows", "at least one row", "sheet without rows")
	}
	for i := range s.Rows {
		v.row(o, fmt.Sprintf("rows.[%d]", i), day, &s.Rows[i])
	}
	for pool, rows := range groupByPool(s.Rows) {
		v.checkOverlaps(o, pool, rows)
	}
}

// row checks one row of a sheet, apart from overlaps with other rows.
func (v *validator) row(o *Object, path string, day time.Time, r *RowSpec) {
	pool := v.pools[r.Pool]
	v.checkReference(o, path+".pool", "pool", r.Pool, pool != nil)
	v.checkFloat(o, path+".rate", r.Rate, 0, maxRate)
	v.checkInt(o, path+".prefill", r.Prefill, 0, maxCount)
	v.checkInt(o, path+".decode", r.Decode, 0, maxCount)
	// Sheets may use any time zone, up to UTC+14, so the day may start 14 hours
	// before the UTC day and end 14 hours after it.
	if !r.From.Before(r.To) || r.From.Before(day.Add(-14*time.Hour)) || r.To.After(day.Add(38*time.Hour)) {
		v.addIssue(o, path+".to", "a span within the day", "span from %s to %s", r.From.Format(time.RFC3339), r.To.Format(time.RFC3339))
	}
	if r.Rate > 0 && (r.Prefill == 0 || r.Decode == 0) {
		v.addIssue(o, path+".decode", "at least one replica of each role", "demand of %v requests a second without replicas", r.Rate)
	}
	if pool != nil {
		if pool.Role == persimmoncart.RoleApplication {
			v.addIssue(o, path+".pool", "a pool of engines", "pool %s has application endpoints", r.Pool)
		} else if !slices.Contains(pool.Models, r.Model) {
			v.addIssue(o, path+".model", "one of "+strings.Join(pool.Models, ", "), "pool %s has no model %q", r.Pool, truncate(r.Model))
		}
	}
}

// checkOverlaps checks the rows of one pool against each other. At any time there
// may be only one row for each model, and the rows together may not have more
// replicas than the pool has engines.
func (v *validator) checkOverlaps(o *Object, pool string, rows []indexedRow) {
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].From.Before(rows[j].From) })
	var open []indexedRow
	for _, r := range rows {
		open = slices.DeleteFunc(open, func(other indexedRow) bool { return !other.To.After(r.From) })
		sum := r.Prefill + r.Decode
		for _, other := range open {
			sum += other.Prefill + other.Decode
			if other.Model == r.Model {
				v.addIssue(o, fmt.Sprintf("rows.[%d].from", r.index), "one row for each pool, model and time",
					"row overlaps row %d of pool %s and model %s", other.index+1, pool, r.Model)
			}
		}
		if have := v.engineCounts[pool]; sum > have && v.pools[pool] != nil {
			v.addIssue(o, fmt.Sprintf("rows.[%d].decode", r.index), fmt.Sprintf("at most %d, the pool's engines", have),
				"%d replicas of pool %s in sum at %s", sum, pool, r.From.Format("15:04"))
		}
		open = append(open, r)
	}
}

// indexedRow is a row with its index in the sheet.
type indexedRow struct {
	RowSpec
	index int
}

// groupByPool groups rows by pool name.
func groupByPool(rows []RowSpec) map[string][]indexedRow {
	out := map[string][]indexedRow{}
	for i, r := range rows {
		out[r.Pool] = append(out[r.Pool], indexedRow{RowSpec: r, index: i})
	}
	return out
}

// checkPoolSize checks the numbers of prefill and decode replicas of a pool against
// the number of its engines.
func (v *validator) checkPoolSize(o *Object, prefix, pool string, prefill, decode int) {
	v.checkInt(o, prefix+"prefill", prefill, 0, maxCount)
	v.checkInt(o, prefix+"decode", decode, 0, maxCount)
	if v.pools[pool] == nil {
		v.checkReference(o, "name", "pool", pool, false)
		return
	}
	if have := v.engineCounts[pool]; prefill+decode > have {
		v.addIssue(o, prefix+"decode", fmt.Sprintf("at most %d, the pool's engines", have), "prefill and decode sum to %d", prefill+decode)
	}
}

// checkModels checks that the pool serves the models.
func (v *validator) checkModels(o *Object, names []string, pool *PoolSpec) {
	for i, m := range names {
		if !slices.Contains(pool.Models, m) {
			want := "one of " + strings.Join(pool.Models, ", ")
			if len(pool.Models) == 0 {
				want = "no models"
			}
			v.addIssue(o, fmt.Sprintf("models.[%d]", i), want, "pool %s has no model %q", pool.Name, truncate(m))
		}
	}
}

// checkReference records an issue if the object that a field refers to does not
// exist.
func (v *validator) checkReference(o *Object, field, kind, name string, exists bool) {
	if !exists {
		v.addIssue(o, field, "the name of a "+kind+" in the configuration", "no %s %q", kind, truncate(name))
	}
}

// checkName checks that a field has the form of a name.
func (v *validator) checkName(o *Object, field, value string) {
	if !namePattern.MatchString(value) {
		v.addIssue(o, field, "1 to 64 letters, digits, dots, colons, dashes or underscores", "%s %q", field, truncate(value))
	}
}

func (v *validator) checkFloat(o *Object, field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		v.addIssue(o, field, fmt.Sprintf("%v to %v", low, high), "%v is out of range", value)
	}
}

func (v *validator) checkInt(o *Object, field string, value, low, high int) {
	if value < low || value > high {
		v.addIssue(o, field, fmt.Sprintf("%d to %d", low, high), "%d is out of range", value)
	}
}

func (v *validator) checkDuration(o *Object, field string, value Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		v.addIssue(o, field, fmt.Sprintf("%v to %v", low, high), "%v is out of range", d)
	}
}

// ValidateParsed validates parsed objects. It returns the faults of form together
// with those that Validate finds, as Issues, or nil if there are none.
func ValidateParsed(form Issues, objects []*Object) error {
	return append(slices.Clone(form), Validate(objects)...).sorted()
}
