package persimmoncart_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/persimmoncart/persimmoncart"
)

// Guards against a caller that is told that its route does not exist because it spells the
// host with capitals.
func TestForwardTableHostCase(t *testing.T) {
	table := &persimmoncart.ForwardTable{Routes: map[string][]*persimmoncart.ForwardRoute{
		"shop.example": {{Name: "look", Prefix: "/look/"}},
	}}
	for _, host := range []string{"shop.example", "Shop.Example", "SHOP.EXAMPLE"} {
		r, found := table.Route(host, "/look/1")
		assert.Assert(t, found, host)
		assert.Equal(t, r.Name, persimmoncart.RouteName("look"))
	}
	_, found := table.Route("other.example", "/look/1")
	assert.Assert(t, !found)
}
