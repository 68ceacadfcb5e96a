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

// authenticate returns the account of the request's bearer key, or a
// *persimmoncart.Refusal. Keys are looked up by hash, so that the duration of the
// lookup reveals nothing about them.
func authenticate(s *persimmoncart.Snapshot, header http.Header) (*persimmoncart.Account, error) {
	scheme, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "bearer") && key != "" {
		if account := s.Keys[sha256.Sum256([]byte(key))]; account != nil {
			return account, nil
		}
	}
	return nil, &persimmoncart.Refusal{Code: persimmoncart.RefusalAccountUnknown, Message: "no account with this key"}
}

// takeRate counts one request with the given number of tokens against the rate limits
// of the account. It returns a *persimmoncart.Refusal if a limit is exceeded.
func (e *exchange) takeRate(tokens int) error {
	retryAfter, ok := e.handler.RateLimiter.Allow(e.account, tokens)
	if ok {
		return nil
	}
	return &persimmoncart.Refusal{
		Code:       persimmoncart.RefusalAccountLimited,
		Message:    "the account's rate is used up",
		RetryAfter: max(retryAfter, time.Millisecond),
	}
}

// A routeIndex is a snapshot of the configuration with its routes indexed. All lists
// of routes are sorted by name.
type routeIndex struct {
	byModel  map[persimmoncart.ModelName][]*persimmoncart.Route
	runOnce  []*persimmoncart.Route // routes of applications whose calls may run only once
	snapshot *persimmoncart.Snapshot
}

// currentRoutes returns the index of the configuration in force. It builds a new one
// only if the configuration has changed.
func (h *Handler) currentRoutes() *routeIndex {
	s := h.Configuration.Snapshot()
	if i := h.routeIndex.Load(); i != nil && i.snapshot == s {
		return i
	}
	i := newRouteIndex(s)
	h.routeIndex.Store(i)
	return i
}

// newRouteIndex returns an index of the routes in s.
func newRouteIndex(s *persimmoncart.Snapshot) *routeIndex {
	i := &routeIndex{byModel: make(map[persimmoncart.ModelName][]*persimmoncart.Route), snapshot: s}
	for _, r := range s.Routes {
		for _, m := range r.Models {
			i.byModel[m] = append(i.byModel[m], r)
		}
		if pool := s.Pools[r.Pool]; !r.Idempotent && pool != nil && pool.Role == persimmoncart.RoleApplication {
			i.runOnce = append(i.runOnce, r)
		}
	}
	byName := func(a, b *persimmoncart.Route) int { return strings.Compare(string(a.Name), string(b.Name)) }
	for _, routes := range i.byModel {
		slices.SortFunc(routes, byName)
	}
	slices.SortFunc(i.runOnce, byName)
	return i
}

// completionRoute returns the route of a model for an account: the first one of the
// account's class or else the first one, by name. It returns nil if no route serves
// the model.
func (i *routeIndex) completionRoute(m persimmoncart.ModelName, account *persimmoncart.Account) *persimmoncart.Route {
	routes := i.byModel[m]
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

// A RateLimiter limits the rates of requests and tokens of accounts on one instance.
// Its exported fields are set before use.
type RateLimiter struct {
	Instances func() int // returns the number of instances that share the rates; nil means one
	Timer     persimmoncart.Timer

	limiter *policy.AccountLimiter
	mutex   sync.Mutex
}

// Allow implements persimmoncart.RateLimiter. Accounts without rates are unlimited.
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
	ok, retryAfter := l.limiter.Allow(now, account, instances, tokens)
	return retryAfter, ok
}
