package forward

import (
	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/metrics"
)

// Concurrency returns what is estimated of the endpoints of each pool and role, for the
// metrics. It is empty unless the Directory is Adaptive.
func (d *Directory) Concurrency() []metrics.GroupConcurrency {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var groups []metrics.GroupConcurrency
	for name, p := range d.pools {
		for _, role := range []persimmoncart.Role{persimmoncart.RoleApplication, persimmoncart.RoleDecode, persimmoncart.RolePrefill} {
			if stats := p.selector.Concurrency(role); stats.Endpoints > 0 {
				groups = append(groups, metrics.GroupConcurrency{Limit: stats.Limit, Pool: name, Role: role, Spread: stats.Spread})
			}
		}
	}
	return groups
}
