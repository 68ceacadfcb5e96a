package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/persimmoncart/persimmoncart"
	memberv1 "github.com/persimmoncart/persimmoncart/proto/member/v1"
)

// maxPriorEpochs limits the earlier epochs in a record. At the limit, a further
// epoch is proposed only after one of them has closed.
const maxPriorEpochs = 8

// A Record is the membership of a cell in one epoch, as it is stored and sent
// to peers.
type Record struct {
	Cell     persimmoncart.DataCentre
	Epoch    uint64
	Members  []persimmoncart.Tag // sorted
	Nonce    string              // identifier of the write, from which an instance recognises its own records
	Prior    []Record            // earlier epochs in which replicas may still be owned, oldest first
	Replicas []persimmoncart.EndpointID
	Version  persimmoncart.Version // version of the object in the store

	owners map[persimmoncart.EndpointID]persimmoncart.InstanceID // computed by the first call of Owner
}

// Owner returns the owner of a replica in this epoch; it returns false if the
// replica has none.
func (r *Record) Owner(id persimmoncart.EndpointID) (persimmoncart.InstanceID, bool) {
	if r.owners == nil {
		ids := make([]persimmoncart.InstanceID, 0, len(r.Members))
		for _, m := range r.Members {
			ids = append(ids, m.Instance)
		}
		r.owners = Assign(ids, r.Replicas)
	}
	owner, found := r.owners[id]
	return owner, found
}

// contains reports whether tag is a member.
func (r *Record) contains(tag persimmoncart.Tag) bool {
	return slices.Contains(r.Members, tag)
}

// quorum reports whether the members for which in returns true are a majority,
// or exactly half of the members with the smallest tag among them. Two quorums
// always share a member. Members must be sorted.
func quorum(members []persimmoncart.Tag, in func(persimmoncart.Tag) bool) bool {
	count := 0
	for _, m := range members {
		if in(m) {
			count++
		}
	}
	if 2*count == len(members) && count > 0 {
		return in(members[0])
	}
	return 2*count > len(members)
}

// asPrior returns the record as it is listed among the earlier epochs of
// another.
func (r *Record) asPrior() Record {
	return Record{Cell: r.Cell, Epoch: r.Epoch, Members: r.Members, Replicas: r.Replicas}
}

// Wire returns the record as a message. It leaves out replicas whose hash is
// omitHash, and replicas of earlier epochs that equal the record's own.
func (r *Record) Wire(omitHash uint64) *memberv1.CellRecord {
	w := &memberv1.CellRecord{
		Cell:    string(r.Cell),
		Epoch:   r.Epoch,
		Nonce:   r.Nonce,
		Version: uint64(r.Version),
	}
	for _, m := range r.Members {
		w.Members = append(w.Members, &memberv1.RecordMember{Id: string(m.Instance), Incarnation: uint64(m.Incarnation)})
	}
	hash := replicasHash(r.Replicas)
	if hash == omitHash {
		w.ReplicasHash = hash
	} else {
		for _, id := range r.Replicas {
			w.Replicas = append(w.Replicas, string(id))
		}
	}
	for i := range r.Prior {
		w.Prior = append(w.Prior, r.Prior[i].priorWire(hash, r.Members))
	}
	return w
}

// priorWire returns an earlier epoch as a message within a record. Members that
// are in parentMembers, the members of that record, are sent as indexes.
func (r *Record) priorWire(omitHash uint64, parentMembers []persimmoncart.Tag) *memberv1.CellRecord {
	w := r.Wire(omitHash)
	w.Members = nil
	for _, m := range r.Members {
		if i := slices.Index(parentMembers, m); i >= 0 {
			w.Shared = append(w.Shared, uint32(i))
			continue
		}
		w.Members = append(w.Members, &memberv1.RecordMember{Id: string(m.Instance), Incarnation: uint64(m.Incarnation)})
	}
	return w
}

// RecordFromWire returns the record in a message. Omitted are the replicas that
// the sender may have left out. It returns false if the sender left out
// different ones, or if a member index is out of range.
func RecordFromWire(w *memberv1.CellRecord, omitted []persimmoncart.EndpointID) (Record, bool) {
	r := Record{
		Cell:    persimmoncart.DataCentre(w.GetCell()),
		Epoch:   w.GetEpoch(),
		Nonce:   w.GetNonce(),
		Version: persimmoncart.Version(w.GetVersion()),
	}
	for _, m := range w.GetMembers() {
		r.Members = append(r.Members, persimmoncart.Tag{
			Incarnation: persimmoncart.Incarnation(m.GetIncarnation()),
			Instance:    persimmoncart.InstanceID(m.GetId()),
		})
	}
	if w.GetReplicasHash() != 0 {
		if replicasHash(omitted) != w.GetReplicasHash() {
			return Record{}, false
		}
		r.Replicas = omitted
	}
	for _, id := range w.GetReplicas() {
		r.Replicas = append(r.Replicas, persimmoncart.EndpointID(id))
	}
	for _, p := range w.GetPrior() {
		prior, complete := RecordFromWire(p, r.Replicas)
		if !complete {
			return Record{}, false
		}
		for _, i := range p.GetShared() {
			if int(i) >= len(r.Members) {
				return Record{}, false
			}
			prior.Members = append(prior.Members, r.Members[i])
		}
		slices.SortFunc(prior.Members, compareTags)
		r.Prior = append(r.Prior, prior)
	}
	return r, true
}

// replicasHash returns a hash of the replicas. It is never zero, since zero
// means no hash in messages.
func replicasHash(replicas []persimmoncart.EndpointID) uint64 {
	d := xxhash.New()
	for _, id := range replicas {
		_, _ = d.WriteString(string(id)) // never fails
		_, _ = d.Write([]byte{0})
	}
	return max(d.Sum64(), 1)
}

// encode returns the record as it is stored.
func (r *Record) encode() ([]byte, error) {
	w := r.Wire(0)
	w.Version = 0 // known only after the write
	value, err := proto.Marshal(w)
	if err != nil {
		return nil, errors.Wrapf(err, "encode record of cell %s", r.Cell)
	}
	return value, nil
}

// decode returns the record in an object of the store.
func decode(object persimmoncart.Object) (Record, error) {
	w := &memberv1.CellRecord{}
	if err := proto.Unmarshal(object.Value, w); err != nil {
		return Record{}, errors.Wrapf(err, "decode cell record %q", object.Key)
	}
	r, complete := RecordFromWire(w, nil)
	if !complete {
		return Record{}, errors.Errorf("cell record %q refers to replicas or members that it does not contain", object.Key)
	}
	r.Version = object.Version
	return r, nil
}

// compareTags orders tags by identifier, then by incarnation.
func compareTags(a, b persimmoncart.Tag) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}
