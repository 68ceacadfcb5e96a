package load

import (
	"strings"
	"time"

	"github.com/persimmoncart/persimmoncart"
	loadv1 "github.com/persimmoncart/persimmoncart/proto/load/v1"
)

// maxPrefixes is the number of prefix hashes sent with a borrowed item, the
// shortest first. The hashes of eight blocks distinguish replicas and take 64
// bytes an item.
const maxPrefixes = 8

// itemMessage returns an item as a message. Times become durations from now.
// The attempt is not sent: an owner grants slots and never calls an engine for
// it.
func itemMessage(now time.Time, i *persimmoncart.BorrowItem) *loadv1.BorrowItem {
	r := &i.Request
	m := &loadv1.BorrowItem{
		Account:  string(r.Account),
		Class:    uint32(r.Class),
		Deadline: milliseconds(r.Deadline.Sub(now)),
		Decode:   i.Decode,
		Key:      rowKey{r.Model, r.Pool, persimmoncart.RoleDecode}.hash(),
		Limit:    unsigned(r.MaxOutputTokens),
		Prefill:  i.Prefill,
		Prefixes: r.Prefixes[:min(maxPrefixes, len(r.Prefixes))],
		Tokens:   unsigned(r.PromptTokens),
	}
	if !r.FirstTokenDeadline.IsZero() {
		m.First = max(1, milliseconds(r.FirstTokenDeadline.Sub(now)))
	}
	for _, id := range r.Avoid {
		m.Avoid = append(m.Avoid, string(id))
	}
	return m
}

// itemFromMessage returns the item in a message that was received at now. An
// item whose key is not among keys names no pool and gets no slots.
func itemFromMessage(now time.Time, m *loadv1.BorrowItem, keys map[uint32]rowKey) persimmoncart.BorrowItem {
	k := keys[m.GetKey()]
	r := persimmoncart.ReserveRequest{
		Account:         persimmoncart.AccountID(m.GetAccount()),
		Class:           persimmoncart.Class(m.GetClass()),
		Deadline:        now.Add(duration(m.GetDeadline())),
		MaxOutputTokens: int(m.GetLimit()),
		Model:           k.model,
		Pool:            k.pool,
		Prefixes:        m.GetPrefixes(),
		PromptTokens:    int(m.GetTokens()),
	}
	if m.GetFirst() > 0 {
		r.FirstTokenDeadline = now.Add(duration(m.GetFirst()))
	}
	for _, id := range m.GetAvoid() {
		r.Avoid = append(r.Avoid, persimmoncart.EndpointID(id))
	}
	return persimmoncart.BorrowItem{Decode: m.GetDecode(), Prefill: m.GetPrefill(), Request: r}
}

// loanMessage returns a loan as a message.
func loanMessage(l *persimmoncart.Loan) *loadv1.BorrowReply {
	m := &loadv1.BorrowReply{Digest: &loadv1.Digest{Sequence: l.Digest.Sequence}}
	for i := range l.Digest.Pools {
		m.Digest.Rows = append(m.Digest.Rows, rowMessage(&l.Digest.Pools[i]))
	}
	for _, s := range l.Slots {
		m.Slots = append(m.Slots, &loadv1.LentSlot{
			Blocks:   unsigned(s.Blocks),
			Cached:   unsigned(s.CachedTokens),
			Endpoint: string(s.Endpoint),
			First:    milliseconds(s.PrefillTime),
			Id:       string(s.ID),
			Item:     unsigned(s.Item),
			Role:     uint32(s.Role),
		})
	}
	return m
}

// slotsFromMessage returns the lent slots in a message.
func slotsFromMessage(m *loadv1.BorrowReply) []persimmoncart.LentSlot {
	var slots []persimmoncart.LentSlot
	for _, s := range m.GetSlots() {
		slots = append(slots, persimmoncart.LentSlot{
			Blocks:       int(s.GetBlocks()),
			CachedTokens: int(s.GetCached()),
			Endpoint:     persimmoncart.EndpointID(s.GetEndpoint()),
			ID:           persimmoncart.GrantID(s.GetId()),
			Item:         int(s.GetItem()),
			PrefillTime:  duration(s.GetFirst()),
			Role:         persimmoncart.Role(s.GetRole()),
		})
	}
	return slots
}

// changeMessages returns changes of lent slots as messages, without the prefix
// that their identifiers share: an owner gives all its lent slots the same one.
func changeMessages(changes []persimmoncart.LoanChange) (prefix string, messages []*loadv1.Change) {
	if len(changes) == 0 {
		return "", nil
	}
	prefix = string(changes[0].ID)
	for _, c := range changes {
		for !strings.HasPrefix(string(c.ID), prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	for _, c := range changes {
		messages = append(messages, &loadv1.Change{
			Id: strings.TrimPrefix(string(c.ID), prefix), Kind: uint32(c.Kind), Took: milliseconds(c.Latency),
		})
	}
	return prefix, messages
}

// changesFromMessages returns the changes in messages whose identifiers share
// prefix.
func changesFromMessages(prefix string, messages []*loadv1.Change) []persimmoncart.LoanChange {
	var changes []persimmoncart.LoanChange
	for _, m := range messages {
		changes = append(changes, persimmoncart.LoanChange{
			ID:      persimmoncart.GrantID(prefix + m.GetId()),
			Kind:    persimmoncart.LoanChangeKind(m.GetKind()),
			Latency: duration(m.GetTook()),
		})
	}
	return changes
}
