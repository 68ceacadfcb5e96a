package caller

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/policy"
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

// takeRate takes one request with its tokens from the account's limits.
func (e *exchange) takeRate(tokens int) error {
	retry, ok := e.handler.RateLimiter.Allow(e.account, tokens)
	if ok {
		return nil
	}
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalAccountLimited,
		Message:    "the account's rate is used up",
		RetryAfter: max(retry, time.Millisecond),
	}
}

// A routeIndex is a snapshot with the routes of each model.
type routeIndex struct {
	byModel  map[persimmoncart.ModelName][]*persimmoncart.Route
	runOnce  []*persimmoncart.Route // routes whose calls may not be repeated
	snapshot *persimmoncart.Snapshot
}

// currentRoutes returns the catalogue of the configuration in force.
func (h *Handler) currentRoutes() *routeIndex {
	s := h.Configuration.Snapshot()
	if c := h.routeIndex.Load(); c != nil && c.snapshot == s {
		return c
	}
	c := newRouteIndex(s)
	h.routeIndex.Store(c)
	return c
}

// newRouteIndex returns the catalogue of s.
func newRouteIndex(s *persimmoncart.Snapshot) *routeIndex {
	c := &routeIndex{byModel: make(map[persimmoncart.ModelName][]*persimmoncart.Route), snapshot: s}
	for _, r := range s.Routes {
		for _, m := range r.Models {
			c.byModel[m] = append(c.byModel[m], r)
		}
		if pool := s.Pools[r.Pool]; !r.Idempotent && pool != nil && pool.Role == persimmoncart.RoleApplication {
			c.runOnce = append(c.runOnce, r)
		}
	}
	byName := func(a, b *persimmoncart.Route) int { return strings.Compare(string(a.Name), string(b.Name)) }
	for _, routes := range c.byModel {
		slices.SortFunc(routes, byName)
	}
	slices.SortFunc(c.runOnce, byName)
	return c
}

// completionRoute returns the route of a model for an account: the first by name
// whose class is the account's, or the first of all.
func (c *routeIndex) completionRoute(m persimmoncart.ModelName, account *persimmoncart.Account) *persimmoncart.Route {
	routes := c.byModel[m]
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

var _ persimmoncart.RateLimiter = (*RateLimiter)(nil)

// RateLimiter are the rate limits of accounts on one instance. Its fields are set
// before use.
type RateLimiter struct {
	Instances func() int // that share the accounts' rates; nil means 1
	Timer     persimmoncart.Timer

	limiter *policy.AccountLimiter
	mutex   sync.Mutex
}

// Allow implements persimmoncart.RateLimiter. Accounts without a rate are unlimited.
func (l *RateLimiter) Allow(account *persimmoncart.Account, tokens int) (time.Duration, bool) {
	if account.Rate <= 0 && account.TokenRate <= 0 {
		return 0, true
	}
	instances := 1
	if l.Instances != nil {
		instances = l.Instances()
	}
	now := l.Timer.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.limiter == nil {
		l.limiter = policy.NewAccountLimiter(policy.DefaultMaxLimitedAccounts)
	}
	ok, retry := l.limiter.Allow(now, account, instances, tokens)
	return retry, ok
}
