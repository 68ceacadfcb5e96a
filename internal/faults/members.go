package faults

import (
	"slices"
	"strings"
	"sync"

	"github.com/persimmoncart/persimmoncart"
)

var _ persimmoncart.Members = (*members)(nil)

// A members is the membership view of one node. The cluster updates it with the delay
// of failure detection.
type members struct {
	mutex       sync.Mutex
	node        *node
	subscribers map[int]func([]persimmoncart.Member)
	next        int
	view        map[persimmoncart.InstanceID]persimmoncart.Member
}

// Self implements persimmoncart.Members.
func (m *members) Self() persimmoncart.Instance { return m.node.self }

// Subscribe implements persimmoncart.Members.
func (m *members) Subscribe(f func([]persimmoncart.Member)) (stop func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.subscribers == nil {
		m.subscribers = map[int]func([]persimmoncart.Member){}
	}
	key := m.next
	m.next++
	m.subscribers[key] = f
	return func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.subscribers, key)
	}
}

// View implements persimmoncart.Members.
func (m *members) View() []persimmoncart.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	view := []persimmoncart.Member{{Instance: m.node.self, State: persimmoncart.MemberAlive}}
	for _, member := range m.view {
		view = append(view, member)
	}
	slices.SortFunc(view, func(a, b persimmoncart.Member) int {
		return strings.Compare(string(a.Instance.ID), string(b.Instance.ID))
	})
	return view
}

// set sets the state of one member and notifies the subscribers. It ignores older
// incarnations.
func (m *members) set(member persimmoncart.Member) {
	m.mutex.Lock()
	if m.view == nil {
		m.view = map[persimmoncart.InstanceID]persimmoncart.Member{}
	}
	current, ok := m.view[member.Instance.ID]
	if ok && (current == member || current.Instance.Incarnation > member.Instance.Incarnation) {
		m.mutex.Unlock()
		return
	}
	m.view[member.Instance.ID] = member
	var subscribers []func([]persimmoncart.Member)
	for _, f := range m.subscribers {
		subscribers = append(subscribers, f)
	}
	m.mutex.Unlock()
	for _, f := range subscribers {
		f([]persimmoncart.Member{member})
	}
}
