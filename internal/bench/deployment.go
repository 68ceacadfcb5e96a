package bench

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

// A deployment is the simulated topology with its load.
type deployment struct {
	accounts         int
	applications     []persimmoncart.Endpoint
	engines          []persimmoncart.Endpoint
	interactiveShare float64 // share of completions that are interactive
	lookupRate       float64 // a second
	bookingRate      float64 // a second
	name             string
	nodes            []persimmoncart.Instance
	linkScale        float64 // factor on the link rates; 1 at today's size
}

// Names of the deployments, and of the model and route that both use.
const (
	darJaouz    = "dar-jaouz"
	peachthread = "peachthread"
	modelName   = persimmoncart.ModelName("hull")
	routeName   = persimmoncart.RouteName("drafts")
)

// A site is one data centre with its numbers of engines and instances.
type site struct {
	dataCentre persimmoncart.DataCentre
	decode     int
	nodes      int
	prefill    int
	region     persimmoncart.Region
}

// newDeployment returns a deployment at today's size, or with the given
// numbers of instances (nodes) and engines (replicas) in 35 data centres of 10
// regions.
func newDeployment(name string, nodes, replicas int) *deployment {
	d := &deployment{accounts: 60, bookingRate: 8, interactiveShare: 0.35, lookupRate: 60, name: name, linkScale: 1}
	sites := []site{
		{dataCentre: "sfax-hall1", region: "sfax-coast", decode: 6, prefill: 2, nodes: 3},
		{dataCentre: "sfax-hall2", region: "sfax-coast", decode: 6, prefill: 1, nodes: 3},
		{dataCentre: "kass-hall1", region: "kasserine-hl", decode: 4, prefill: 1, nodes: 2},
	}
	pool, application := persimmoncart.PoolName("hull-llm"), persimmoncart.PoolName("yard-books")
	if name == peachthread {
		pool, application = "match-writers", "pledge-desk"
		sites = []site{
			{dataCentre: "athens-a", region: "ga-north", decode: 4, prefill: 1, nodes: 3},
			{dataCentre: "gainesville-b", region: "ga-north", decode: 3, prefill: 1, nodes: 3},
			{dataCentre: "valdosta-a", region: "ga-south", decode: 2, prefill: 1, nodes: 2},
		}
	}
	if nodes > 8 || replicas > 0 {
		sites = d.grow(nodes, replicas)
	}
	for _, s := range sites {
		d.add(s, pool, application)
	}
	return d
}

// grow returns the sites of the planned size and scales the rates of calls and
// links.
func (d *deployment) grow(nodes, replicas int) []site {
	const centres, regions = 35, 10
	d.accounts = 19000
	d.lookupRate *= float64(nodes) / 8
	d.bookingRate *= float64(nodes) / 8
	d.linkScale = float64(replicas) / centres / 8
	var sites []site
	for i := range centres {
		n := replicas*(i+1)/centres - replicas*i/centres
		prefill := max(n*16/100, 1)
		sites = append(sites, site{
			dataCentre: persimmoncart.DataCentre(fmt.Sprintf("centre-%02d", i)),
			decode:     n - prefill,
			nodes:      nodes*(i+1)/centres - nodes*i/centres,
			prefill:    prefill,
			region:     persimmoncart.Region(fmt.Sprintf("region-%d", i%regions)),
		})
	}
	return sites
}

// add adds the engines, the application endpoint and the instances of one data
// centre.
func (d *deployment) add(s site, pool, application persimmoncart.PoolName) {
	endpoint := func(role persimmoncart.Role, p persimmoncart.PoolName, i, slots, blocks int) persimmoncart.Endpoint {
		return persimmoncart.Endpoint{
			Blocks: blocks, DataCentre: s.dataCentre, Models: []persimmoncart.ModelName{modelName}, Pool: p,
			ID:     persimmoncart.EndpointID(fmt.Sprintf("%s-%s-%d", s.dataCentre, role, i)),
			Region: s.region, Role: role, Slots: slots,
		}
	}
	for i := range s.prefill {
		d.engines = append(d.engines, endpoint(persimmoncart.RolePrefill, pool, i, prefillSlots, 1000))
	}
	for i := range s.decode {
		d.engines = append(d.engines, endpoint(persimmoncart.RoleDecode, pool, i, decodeSlots, decodeBlocks))
	}
	d.applications = append(d.applications, endpoint(persimmoncart.RoleApplication, application, 0, 64, 0))
	for i := range s.nodes {
		d.nodes = append(d.nodes, persimmoncart.Instance{
			DataCentre: s.dataCentre, ID: persimmoncart.InstanceID(fmt.Sprintf("%s-n%d", s.dataCentre, i)), Region: s.region,
		})
	}
}

// capacity returns how many completions a second the decode replicas of a
// region serve at full batches; an empty region selects all.
func (d *deployment) capacity(region persimmoncart.Region) float64 {
	n := 0
	for i := range d.engines {
		if e := &d.engines[i]; e.Role == persimmoncart.RoleDecode && (region == "" || e.Region == region) {
			n++
		}
	}
	return float64(n*decodeSlots) / decodeStep(decodeSlots).Seconds() / meanOutputTokens
}

// regions returns the regions that have engines, sorted.
func (d *deployment) regions() []persimmoncart.Region {
	var list []persimmoncart.Region
	for i := range d.engines {
		list = append(list, d.engines[i].Region)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// assignOwners assigns each engine an owner by rendezvous hashing among the
// live instances of its data centre, or of its region if the data centre has
// none. An instance owns at most 1.25 times the mean.
func assignOwners(engines []persimmoncart.Endpoint, live []persimmoncart.Instance) map[persimmoncart.EndpointID]persimmoncart.InstanceID {
	result := make(map[persimmoncart.EndpointID]persimmoncart.InstanceID)
	candidates := make(map[persimmoncart.DataCentre][]persimmoncart.InstanceID)
	engineCount := make(map[persimmoncart.DataCentre]int)
	for i := range engines {
		engineCount[engines[i].DataCentre]++
	}
	for i := range engines {
		e := &engines[i]
		if _, found := candidates[e.DataCentre]; !found {
			candidates[e.DataCentre] = ownerCandidates(e, live)
		}
	}
	owned := make(map[persimmoncart.InstanceID]int)
	for i := range engines {
		e := &engines[i]
		members := candidates[e.DataCentre]
		if len(members) == 0 {
			continue
		}
		limit := (engineCount[e.DataCentre]*5 + 4*len(members) - 1) / (4 * len(members))
		for _, id := range rendezvousOrder(members, e.ID) {
			if owned[id] < limit || len(members) == 1 {
				owned[id]++
				result[e.ID] = id
				break
			}
		}
	}
	return result
}

// ownerCandidates returns the instances that may own an engine: those of its
// data centre, or of its region if the data centre has none.
func ownerCandidates(e *persimmoncart.Endpoint, live []persimmoncart.Instance) []persimmoncart.InstanceID {
	var centre, region []persimmoncart.InstanceID
	for _, n := range live {
		if n.DataCentre == e.DataCentre {
			centre = append(centre, n.ID)
		}
		if n.Region == e.Region {
			region = append(region, n.ID)
		}
	}
	if len(centre) > 0 {
		return centre
	}
	return region
}

// rendezvousOrder returns the members sorted by descending rendezvous hash for
// an engine.
func rendezvousOrder(members []persimmoncart.InstanceID, engine persimmoncart.EndpointID) []persimmoncart.InstanceID {
	rank := func(m persimmoncart.InstanceID) uint64 { return xxhash.Sum64String(string(m) + "/" + string(engine)) }
	list := slices.Clone(members)
	slices.SortFunc(list, func(a, b persimmoncart.InstanceID) int { return cmp.Compare(rank(b), rank(a)) })
	return list
}

// accountName returns the name of account i.
func accountName(i int) persimmoncart.AccountID {
	return persimmoncart.AccountID("account-" + strconv.Itoa(i))
}
