package caller

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmoncart/persimmoncart"
)

// authenticate returns the account of the request's bearer key. The lookup is by
// hash, so that its duration tells nothing about the keys.
func authenticate(s *persimmoncart.Snapshot, header http.Header) (*persimmoncart.Account, error) {
	scheme, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "bearer") && key != "" {
		if account := s.Keys[sha256.Sum256([]byte(key))]; account != nil {
			return account, nil
		}
	}
	return nil, &persimmoncart.Refusal{Code: persimmoncart.RefusalAccountUnknown, Message: "no account with this key"}
}

// limit takes one request with its tokens from the account's limits.
func (e *exchange) limit(tokens int) error {
	retry, ok := e.handler.Limits.Allow(e.account, tokens)
	if ok {
		return nil
	}
	return &persimmoncart.Refusal{
		Code:    persimmoncart.RefusalAccountLimited,
		Message: "the account's rate is used up",
		Retry:   max(retry, time.Millisecond),
	}
}

// A catalogue is a snapshot with the routes of each model.
type catalogue struct {
	models   map[persimmoncart.ModelName][]*persimmoncart.Route
	once     []*persimmoncart.Route // routes whose calls may not be repeated
	snapshot *persimmoncart.Snapshot
}

// view returns the catalogue of the configuration in force.
func (h *Handler) view() *catalogue {
	s := h.Configuration.Snapshot()
	if c := h.catalogue.Load(); c != nil && c.snapshot == s {
		return c
	}
	c := newCatalogue(s)
	h.catalogue.Store(c)
	return c
}

// newCatalogue returns the catalogue of s.
func newCatalogue(s *persimmoncart.Snapshot) *catalogue {
	c := &catalogue{models: make(map[persimmoncart.ModelName][]*persimmoncart.Route), snapshot: s}
	for _, r := range s.Routes {
		for _, m := range r.Models {
			c.models[m] = append(c.models[m], r)
		}
		if pool := s.Pools[r.Pool]; !r.Repeat && pool != nil && pool.Role == persimmoncart.RoleApplication {
			c.once = append(c.once, r)
		}
	}
	byName := func(a, b *persimmoncart.Route) int { return strings.Compare(string(a.Name), string(b.Name)) }
	for _, routes := range c.models {
		slices.SortFunc(routes, byName)
	}
	slices.SortFunc(c.once, byName)
	return c
}

// completion returns the route of a model for an account: the first by name
// whose class is the account's, or the first of all.
func (c *catalogue) completion(m persimmoncart.ModelName, account *persimmoncart.Account) *persimmoncart.Route {
	routes := c.models[m]
	if len(routes) == 0 {
		return nil
	}
	for _, r := range routes {
		if r.Class == account.Class {
			return r
		}
	}
	return routes[0]
}

// maxLimited bounds the accounts that have limiters; the fleet has 19,000.
const maxLimited = 32768

var _ persimmoncart.Limits = (*Limits)(nil)

// Limits are the rate limits of accounts on one instance. Share divides the
// accounts' rates between instances.
type Limits struct {
	Share func() float64 // in (0,1]; nil means 1
	Timer persimmoncart.Timer

	accounts map[persimmoncart.AccountID]*limiter
	mutex    sync.Mutex
}

// Allow implements persimmoncart.Limits.
func (l *Limits) Allow(account *persimmoncart.Account, tokens int) (time.Duration, bool) {
	now := l.Timer.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	a := l.limiter(account, now)
	if retry, ok := allow(a.requests, now, 1); !ok {
		return retry, false
	}
	return allow(a.tokens, now, tokens)
}

// limiter returns the limiter of an account at its present rate; the mutex is held.
func (l *Limits) limiter(account *persimmoncart.Account, now time.Time) *limiter {
	share := 1.0
	if l.Share != nil {
		share = l.Share()
	}
	a := l.accounts[account.Name]
	if a != nil && a.account == account && a.share == share {
		return a
	}
	if l.accounts == nil || (a == nil && len(l.accounts) >= maxLimited) {
		l.accounts = make(map[persimmoncart.AccountID]*limiter)
	}
	next := newLimiter(account, share, now)
	if a != nil {
		next.inherit(a, now)
	}
	l.accounts[account.Name] = next
	return next
}

// A limiter holds the limiters of one account; nil means no limit.
type limiter struct {
	account  *persimmoncart.Account
	requests *rate.Limiter
	share    float64
	tokens   *rate.Limiter
}

// newLimiter returns a limiter that starts at half of its burst, so that a
// restarted instance does not double what the account may send.
func newLimiter(account *persimmoncart.Account, share float64, now time.Time) *limiter {
	l := &limiter{account: account, share: share}
	if account.Rate > 0 {
		l.requests = bucket(account.Rate*share, max(float64(account.Burst), account.Rate)*share, now)
	}
	if account.Tokens > 0 {
		// Ten seconds' worth, so that one long prompt fits.
		l.tokens = bucket(account.Tokens*share, account.Tokens*share*10, now)
	}
	return l
}

// inherit carries what is left of an older limiter over.
func (l *limiter) inherit(old *limiter, now time.Time) {
	carry(l.requests, old.requests, now)
	carry(l.tokens, old.tokens, now)
}

// allow takes n from a limiter; nil allows everything. A request above the
// burst takes the whole burst, because no wait would ever be long enough.
func allow(l *rate.Limiter, now time.Time, n int) (time.Duration, bool) {
	if l == nil {
		return 0, true
	}
	n = min(n, l.Burst())
	r := l.ReserveN(now, n)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		return d, false
	}
	return 0, true
}

// bucket returns a limiter with half of its burst taken.
func bucket(r, burst float64, now time.Time) *rate.Limiter {
	b := max(int(burst), 1)
	l := rate.NewLimiter(rate.Limit(r), b)
	l.AllowN(now, b/2)
	return l
}

// carry takes from l what exceeds the old limiter's tokens.
func carry(l, old *rate.Limiter, now time.Time) {
	if l == nil || old == nil {
		return
	}
	if excess := int(l.TokensAt(now) - old.TokensAt(now)); excess > 0 {
		l.AllowN(now, excess)
	}
}
