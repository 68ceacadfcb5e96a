package bench

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmoncart/persimmoncart"
)

// A deployment is the topology that a run simulates.
type deployment struct {
	accounts         int
	applications     []persimmoncart.Endpoint
	engines          []persimmoncart.Endpoint
	interactiveShare float64 // share of completions
	lookupRate       float64 // a second
	bookingRate      float64 // a second
	name             string
	nodes            []persimmoncart.Instance
	linkScale        float64 // size relative to today, for links
}

// Names of the deployments and of what they share.
const (
	darJaouz    = "dar-jaouz"
	peachthread = "peachthread"
	modelName   = persimmoncart.ModelName("hull")
	routeName   = persimmoncart.RouteName("drafts")
)

// A site is one data centre with its sizes.
type site struct {
	centre  persimmoncart.DataCentre
	decode  int
	nodes   int
	prefill int
	region  persimmoncart.Region
}

// newDeployment returns a deployment at today's size, or at the size of nodes
// instances and replicas engines in 35 data centres of 10 regions.
func newDeployment(name string, nodes, replicas int) *deployment {
	d := &deployment{accounts: 60, bookingRate: 8, interactiveShare: 0.35, lookupRate: 60, name: name, linkScale: 1}
	sites := []site{
		{centre: "sfax-hall1", region: "sfax-coast", decode: 6, prefill: 2, nodes: 3},
		{centre: "sfax-hall2", region: "sfax-coast", decode: 6, prefill: 1, nodes: 3},
		{centre: "kass-hall1", region: "kasserine-hl", decode: 4, prefill: 1, nodes: 2},
	}
	pool, application := persimmoncart.PoolName("hull-llm"), persimmoncart.PoolName("yard-books")
	if name == peachthread {
		pool, application = "match-writers", "pledge-desk"
		sites = []site{
			{centre: "athens-a", region: "ga-north", decode: 4, prefill: 1, nodes: 3},
			{centre: "gainesville-b", region: "ga-north", decode: 3, prefill: 1, nodes: 3},
			{centre: "valdosta-a", region: "ga-south", decode: 2, prefill: 1, nodes: 2},
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

// grow returns the sites of a planned size and scales the other loads.
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
			centre:  persimmoncart.DataCentre(fmt.Sprintf("centre-%02d", i)),
			decode:  n - prefill,
			nodes:   nodes*(i+1)/centres - nodes*i/centres,
			prefill: prefill,
			region:  persimmoncart.Region(fmt.Sprintf("region-%d", i%regions)),
		})
	}
	return sites
}

// add adds one data centre.
func (d *deployment) add(s site, pool, application persimmoncart.PoolName) {
	endpoint := func(role persimmoncart.Role, p persimmoncart.PoolName, i, slots, blocks int) persimmoncart.Endpoint {
		return persimmoncart.Endpoint{
			Blocks: blocks, DataCentre: s.centre, Models: []persimmoncart.ModelName{modelName}, Pool: p,
			ID:     persimmoncart.EndpointID(fmt.Sprintf("%s-%s-%d", s.centre, role, i)),
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
			DataCentre: s.centre, ID: persimmoncart.InstanceID(fmt.Sprintf("%s-n%d", s.centre, i)), Region: s.region,
		})
	}
}

// capacity returns the completions a second that the decode replicas of a
// region serve at full batches; an empty region means all.
func (d *deployment) capacity(region persimmoncart.Region) float64 {
	n := 0
	for i := range d.engines {
		if e := &d.engines[i]; e.Role == persimmoncart.RoleDecode && (region == "" || e.Region == region) {
			n++
		}
	}
	return float64(n*decodeSlots) / decodeStep(decodeSlots).Seconds() / meanOutputTokens
}

// regions returns the regions, sorted.
func (d *deployment) regions() []persimmoncart.Region {
	var list []persimmoncart.Region
	for i := range d.engines {
		list = append(list, d.engines[i].Region)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// assignOwners assigns each engine to an owner: the rendezvous winner among the live
// instances of its data centre, or of its region if there is none, with at most
// 1.25 times the mean each.
func assignOwners(engines []persimmoncart.Endpoint, live []persimmoncart.Instance) map[persimmoncart.EndpointID]persimmoncart.InstanceID {
	result := make(map[persimmoncart.EndpointID]persimmoncart.InstanceID)
	cells := make(map[persimmoncart.DataCentre][]persimmoncart.InstanceID)
	sizes := make(map[persimmoncart.DataCentre]int)
	for i := range engines {
		sizes[engines[i].DataCentre]++
	}
	for i := range engines {
		e := &engines[i]
		if _, found := cells[e.DataCentre]; !found {
			cells[e.DataCentre] = ownerCandidates(e, live)
		}
	}
	count := make(map[persimmoncart.InstanceID]int)
	for i := range engines {
		e := &engines[i]
		members := cells[e.DataCentre]
		if len(members) == 0 {
			continue
		}
		limit := (sizes[e.DataCentre]*5 + 4*len(members) - 1) / (4 * len(members))
		for _, id := range rendezvousOrder(members, e.ID) {
			if count[id] < limit || len(members) == 1 {
				count[id]++
				result[e.ID] = id
				break
			}
		}
	}
	return result
}

// ownerCandidates returns the instances that may own an engine.
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

// rendezvousOrder returns the members in rendezvous order for an engine.
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
