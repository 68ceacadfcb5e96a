package soak

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/persimmoncart/persimmoncart/platform/standin"
)

// Keys of callers. The others are held by one account all the time.
const (
	keyBrief   = "key-brief"  // held by accountNorth in odd versions of the configuration, else withdrawn
	keyBulk    = "key-bulk"   // of accountBulk
	keyMoving  = "key-moving" // held by accountSouth in odd versions, else by accountNorth
	keyNorth   = "key-north"
	keySouth   = "key-south"
	keySteady  = "key-steady"  // of accountSteady
	keyUnknown = "key-unknown" // held by no account
)

// Names of accounts. accountBulk sends more than its limit allows, accountSteady less.
const (
	accountBulk   = "bulk"
	accountNorth  = "north"
	accountSouth  = "south"
	accountSteady = "steady"
	forgedAccount = "forged" // claimed by all callers
)

const (
	// kindAnonymous is the name of the route that needs no key.
	kindAnonymous = "open"
	// keyApplyTime is the longest time from a change of keys until the last request that
	// an instance with contact to the store passes on under the keys before it:
	// configApplyTime, and time on the way to the replica on a busy machine.
	keyApplyTime = configApplyTime + 1500*time.Millisecond
	// doubtfulShare is the share of requests of ordinary callers with a key that no account
	// may hold, or without one.
	doubtfulShare = 0.1
)

// doubtfulKeys are keys that no account may hold.
var doubtfulKeys = []string{"", keyBrief, keyUnknown}

// keyHolders returns the account that holds each key in a version of the configuration.
func keyHolders(version int) map[string]string {
	holders := map[string]string{keyBulk: accountBulk, keyMoving: accountNorth, keyNorth: accountNorth, keySouth: accountSouth, keySteady: accountSteady}
	if version%2 == 1 {
		holders[keyBrief], holders[keyMoving] = accountNorth, accountSouth
	}
	return holders
}

// accounts returns the accounts of a version of the configuration.
func accounts(version int) []standin.Account {
	list := []standin.Account{
		{Name: accountBulk, Rate: bulkRate, Burst: bulkBurst},
		{Name: accountNorth},
		{Name: accountSouth},
		{Name: accountSteady, Rate: steadyRate, Burst: steadyBurst},
	}
	for key, account := range keyHolders(version) {
		n := slices.IndexFunc(list, func(a standin.Account) bool { return a.Name == account })
		list[n].Keys = append(list[n].Keys, key)
	}
	return list
}

// A holderChange is the time at which a version of the configuration is written.
type holderChange struct {
	acknowledged time.Time
	holders      map[string]string // account by key
	written      time.Time         // before the call of the store
}

// A keyedRequest is an attempt of a caller.
type keyedRequest struct {
	anonymous bool
	instance  int
	key       string
	known     time.Time // the instance knew the changes acknowledged before then, when the attempt was sent
}

// A storeContact is the contact of an instance to the store.
type storeContact struct {
	faults int       // that are active
	known  time.Time // the instance knew all changes acknowledged before then, before the last fault
	since  time.Time // end of the last fault
}

// An accountLog records the holders of keys, the contact of instances to the store, and the
// attempts of callers. It checks what replicas receive. Its zero value has no keys. It is
// safe for concurrent use.
type accountLog struct {
	changes  []holderChange
	contacts map[int]*storeContact // by instance
	mutex    sync.Mutex
	recorder *recorder
	requests map[string]keyedRequest // by identifier
}

// change writes a version of the configuration with its holders of keys.
func (l *accountLog) change(holders map[string]string, write func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c := holderChange{holders: holders, written: time.Now()}
	write()
	c.acknowledged = time.Now()
	l.changes = append(l.changes, c)
}

// contact returns the contact of an instance. The mutex is held.
func (l *accountLog) contact(instance int) *storeContact {
	if l.contacts == nil {
		l.contacts = make(map[int]*storeContact)
	}
	if l.contacts[instance] == nil {
		l.contacts[instance] = &storeContact{}
	}
	return l.contacts[instance]
}

// knownAt returns a time; an instance knows all changes acknowledged before that.
func (c *storeContact) knownAt(now time.Time) time.Time {
	if known := now.Add(-keyApplyTime); c.faults == 0 && known.After(c.since) && known.After(c.known) {
		return known
	}
	return c.known
}

// beginFault records that a fault separates instances from the store, or stops them.
func (l *accountLog) beginFault(instances []int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, n := range instances {
		c := l.contact(n)
		c.known = c.knownAt(time.Now())
		c.faults++
	}
}

// endFault records the end of a fault.
func (l *accountLog) endFault(instances []int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, n := range instances {
		c := l.contact(n)
		c.faults--
		c.since = time.Now()
	}
}

// register records an attempt before it is sent to an instance, and has it claim an account.
// A process reads the configuration when it starts, so that it knows the changes before.
func (l *accountLog) register(r *standin.Request, instance int, p *process) {
	r.Account = forgedAccount
	started := p.startTime()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.requests == nil {
		l.requests = make(map[string]keyedRequest)
	}
	known := l.contact(instance).knownAt(time.Now())
	if started.After(known) {
		known = started
	}
	l.requests[r.ID] = keyedRequest{anonymous: strings.HasPrefix(r.Path, "/"+kindAnonymous+"/"), instance: instance, key: r.Key, known: known}
}

// holders returns the accounts that an instance may take for the holder of a key at a time
// until now, if it knows all changes acknowledged before known; empty for none. The mutex
// is held.
func (l *accountLog) holders(key string, known, now time.Time) []string {
	var names []string
	for n, c := range l.changes {
		replaced := n+1 < len(l.changes) && !l.changes[n+1].acknowledged.After(known)
		if !replaced && !c.written.After(now) {
			names = append(names, c.holders[key])
		}
	}
	return names
}

// checkArrival checks the key and the account in a request that reaches a replica.
func (l *accountLog) checkArrival(header http.Header, now time.Time) {
	id, account := standin.RequestID(header), header.Get("X-Tenant")
	if header.Get("X-Key") != "" {
		l.recorder.addViolation(KeysHeld, "%s reached a replica with its key", id)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r, found := l.requests[id]
	if !found {
		return
	}
	known := r.known
	if k := l.contact(r.instance).knownAt(now); k.After(known) {
		known = k
	}
	allowed := []string{""} // on the anonymous route
	if !r.anonymous {
		allowed = slices.DeleteFunc(l.holders(r.key, known, now), func(name string) bool { return name == "" })
	}
	if !slices.Contains(allowed, account) {
		l.recorder.addViolation(KeysHeld, "%s with %q reached a replica as %q, allowed are %q; instance %d knew of changes %s ago",
			id, r.key, account, allowed, r.instance, now.Sub(known).Round(time.Millisecond))
	}
}

// checkRefusal checks that a request that was refused for its key had none that one account
// held all the time.
func (l *accountLog) checkRefusal(o *outcome) {
	if o.status != http.StatusUnauthorized {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := l.requests[o.id]
	names := slices.Compact(l.holders(r.key, r.known, o.ended))
	if r.anonymous || len(names) == 1 && names[0] != "" {
		l.recorder.addViolation(KeysHeld, "%s with %q was refused by instance %d, %q holds the key", o.id, r.key, o.instance, names)
	}
}

// checkKeys checks that the holders of all keys are those of the present configuration at an
// instance, by its responses and by what replicas receive.
func (s *Soak) checkKeys(n int, p *process) {
	for _, key := range []string{"", keyBrief, keyMoving, keyNorth, keyUnknown} {
		want := http.StatusUnauthorized
		if keyHolders(s.configVersion)[key] != "" {
			want = http.StatusOK
		}
		if status, err := s.probe(n, p, kindIdempotent, key); err != nil || status != want {
			s.recorder.addViolation(KeysHeld, "%s responds with status %d, %v to %q, want %d", p.Name, status, err, key, want)
		}
	}
	if status, err := s.probe(n, p, kindAnonymous, keyUnknown); err != nil || status != http.StatusOK {
		s.recorder.addViolation(KeysHeld, "%s responds with status %d, %v on the anonymous route", p.Name, status, err)
	}
}
