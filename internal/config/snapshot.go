package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/persimmoncart/persimmoncart"
)

// EmptySnapshot returns the snapshot of a configuration without objects, as version
// 0.
func EmptySnapshot() *persimmoncart.Snapshot {
	return &persimmoncart.Snapshot{
		Accounts:  map[persimmoncart.AccountID]*persimmoncart.Account{},
		Drained:   map[persimmoncart.EndpointID]bool{},
		Endpoints: map[persimmoncart.EndpointID]*persimmoncart.Endpoint{},
		Keys:      map[persimmoncart.KeyHash]*persimmoncart.Account{},
		Links:     map[string]*persimmoncart.Link{},
		Overrides: map[persimmoncart.PoolName]*persimmoncart.Override{},
		Pins:      map[persimmoncart.EndpointID]*persimmoncart.Pin{},
		Pools:     map[persimmoncart.PoolName]*persimmoncart.Pool{},
		Routes:    map[persimmoncart.RouteName]*persimmoncart.Route{},
	}
}

// Apply returns the snapshot after the changes, as the given version. It copies the
// maps of the kinds that change and shares the others; old stays as it is. It
// returns an error if a key is invalid or an object cannot be decoded.
func Apply(old *persimmoncart.Snapshot, changes []persimmoncart.ConfigChange, version uint64) (*persimmoncart.Snapshot, error) {
	next := *old
	next.Version = version
	copied := map[Kind]bool{}
	for _, c := range changes {
		key, err := ParseKey(c.Key)
		if err != nil {
			return nil, err
		}
		if !copied[key.Kind] {
			copied[key.Kind] = true
			copyKind(&next, key.Kind)
		}
		if key.Kind == KindAccount {
			// All old key hashes are removed before any is added, because a
			// change set may move a hash from one account to another.
			removeKeyHashes(&next, persimmoncart.AccountID(key.Name))
		}
	}
	for _, c := range changes {
		key, _ := ParseKey(c.Key)
		if c.After == nil {
			remove(&next, key)
			continue
		}
		s, err := decodeSpec(key.Kind, c.After)
		if err != nil {
			return nil, err
		}
		put(&next, s)
	}
	return &next, nil
}

// copyKind replaces the collections of a kind by copies.
func copyKind(s *persimmoncart.Snapshot, k Kind) {
	switch k {
	case KindAccount:
		s.Accounts = maps.Clone(s.Accounts)
		s.Keys = maps.Clone(s.Keys)
	case KindDrain:
		s.Drained = maps.Clone(s.Drained)
	case KindEndpoint:
		s.Endpoints = maps.Clone(s.Endpoints)
	case KindLink:
		s.Links = maps.Clone(s.Links)
	case KindOverride:
		s.Overrides = maps.Clone(s.Overrides)
	case KindPin:
		s.Pins = maps.Clone(s.Pins)
	case KindPool:
		s.Pools = maps.Clone(s.Pools)
	case KindRoute:
		s.Routes = maps.Clone(s.Routes)
	case KindSheet:
		s.Sheets = slices.Clone(s.Sheets)
	}
}

// removeKeyHashes removes the key hashes of an account from s.Keys.
func removeKeyHashes(s *persimmoncart.Snapshot, id persimmoncart.AccountID) {
	a := s.Accounts[id]
	if a == nil {
		return
	}
	for _, h := range a.Keys {
		if s.Keys[h] == a {
			delete(s.Keys, h)
		}
	}
}

// remove deletes one object.
func remove(s *persimmoncart.Snapshot, key Key) {
	switch key.Kind {
	case KindAccount:
		delete(s.Accounts, persimmoncart.AccountID(key.Name))
	case KindDrain:
		delete(s.Drained, persimmoncart.EndpointID(key.Name))
	case KindEndpoint:
		delete(s.Endpoints, persimmoncart.EndpointID(key.Name))
	case KindLink:
		delete(s.Links, key.Name)
	case KindOverride:
		delete(s.Overrides, persimmoncart.PoolName(key.Name))
	case KindPin:
		delete(s.Pins, persimmoncart.EndpointID(key.Name))
	case KindPool:
		delete(s.Pools, persimmoncart.PoolName(key.Name))
	case KindRoute:
		delete(s.Routes, persimmoncart.RouteName(key.Name))
	case KindSheet:
		putSheet(s, key.Name, nil)
	}
}

// put adds or replaces one object.
func put(s *persimmoncart.Snapshot, spec Spec) {
	switch x := spec.(type) {
	case *AccountSpec:
		a := x.account()
		s.Accounts[a.Name] = a
		for _, h := range a.Keys {
			s.Keys[h] = a
		}
	case *DrainSpec:
		s.Drained[persimmoncart.EndpointID(x.Name)] = true
	case *EndpointSpec:
		s.Endpoints[persimmoncart.EndpointID(x.Name)] = x.endpoint()
	case *LinkSpec:
		s.Links[x.Name] = &persimmoncart.Link{From: x.From, Name: x.Name, Price: x.Price, Rate: x.Rate, To: x.To}
	case *OverrideSpec:
		s.Overrides[persimmoncart.PoolName(x.Name)] = &persimmoncart.Override{
			Decode: x.Decode, Pool: persimmoncart.PoolName(x.Name), Prefill: x.Prefill, Until: x.Until,
		}
	case *PinSpec:
		s.Pins[persimmoncart.EndpointID(x.Name)] = &persimmoncart.Pin{
			Endpoint: persimmoncart.EndpointID(x.Name), Models: modelNames(x.Models), Role: x.Role,
		}
	case *PoolSpec:
		s.Pools[persimmoncart.PoolName(x.Name)] = &persimmoncart.Pool{
			Decode: x.Decode, FirstTokenTarget: time.Duration(x.FirstTokenTarget), Models: modelNames(x.Models), Name: persimmoncart.PoolName(x.Name),
			TokenGapTarget: time.Duration(x.TokenGapTarget), Prefill: x.Prefill, Role: x.Role,
		}
	case *RouteSpec:
		s.Routes[persimmoncart.RouteName(x.Name)] = &persimmoncart.Route{
			MaxBodyBytes: x.MaxBodyBytes, Class: x.Class, Hedge: x.Hedge, MaxOutputTokens: x.MaxOutputTokens, Models: modelNames(x.Models),
			Name: persimmoncart.RouteName(x.Name), Pool: persimmoncart.PoolName(x.Pool), Idempotent: x.Idempotent,
			Timeout: time.Duration(x.Timeout),
		}
	case *SheetSpec:
		putSheet(s, x.Name, x.sheet())
	}
}

// putSheet replaces the sheet of the named day, or removes it if sheet is nil. It
// keeps s.Sheets sorted by day and s.Sheet the newest of them.
func putSheet(s *persimmoncart.Snapshot, name string, sheet *persimmoncart.Sheet) {
	s.Sheets = slices.DeleteFunc(s.Sheets, func(x *persimmoncart.Sheet) bool { return x.Day.Format(time.DateOnly) == name })
	if sheet != nil {
		s.Sheets = append(s.Sheets, sheet)
	}
	slices.SortFunc(s.Sheets, func(a, b *persimmoncart.Sheet) int { return a.Day.Compare(b.Day) })
	s.Sheet = nil
	if n := len(s.Sheets); n > 0 {
		s.Sheet = s.Sheets[n-1]
	}
}

// account converts the spec to the router's representation.
func (s *AccountSpec) account() *persimmoncart.Account {
	keys := make([]persimmoncart.KeyHash, len(s.Keys))
	for i, h := range s.Keys {
		keys[i] = persimmoncart.KeyHash(h)
	}
	return &persimmoncart.Account{
		Burst: s.Burst, Class: s.Class, Keys: keys, Name: persimmoncart.AccountID(s.Name),
		Rate: s.Rate, TokenRate: s.TokenRate, Weight: s.Weight,
	}
}

// endpoint converts the spec to the router's representation.
func (s *EndpointSpec) endpoint() *persimmoncart.Endpoint {
	return &persimmoncart.Endpoint{
		Addr:   s.Addr,
		Blocks: s.Blocks,
		Capabilities: persimmoncart.Capabilities{
			Authenticates: slices.Contains(s.Capabilities, capabilitySender),
			Fences:        slices.Contains(s.Capabilities, capabilityFence),
			Deduplicates:  slices.Contains(s.Capabilities, capabilityRepeat),
		},
		DataCentre: persimmoncart.DataCentre(s.DataCentre),
		ID:         persimmoncart.EndpointID(s.Name),
		Models:     modelNames(s.Models),
		Pool:       persimmoncart.PoolName(s.Pool),
		Region:     persimmoncart.Region(s.Region),
		Role:       s.Role,
		Slots:      s.Slots,
	}
}

// sheet converts the spec to the router's representation.
func (s *SheetSpec) sheet() *persimmoncart.Sheet {
	day, err := time.Parse(time.DateOnly, s.Name)
	if err != nil {
		return nil // unreachable: sheet names are validated before they are stored
	}
	rows := make([]persimmoncart.SheetRow, len(s.Rows))
	for i, r := range s.Rows {
		rows[i] = persimmoncart.SheetRow{
			Decode: r.Decode, From: r.From, Model: persimmoncart.ModelName(r.Model), Pool: persimmoncart.PoolName(r.Pool),
			Prefill: r.Prefill, Rate: r.Rate, To: r.To,
		}
	}
	return &persimmoncart.Sheet{Day: day, Rows: rows}
}

// modelNames converts names to model names, and no names to nil.
func modelNames(names []string) []persimmoncart.ModelName {
	if len(names) == 0 {
		return nil
	}
	out := make([]persimmoncart.ModelName, len(names))
	for i, n := range names {
		out[i] = persimmoncart.ModelName(strings.Clone(n))
	}
	return out
}
