// Package control keeps the control state of one instance in a single goroutine,
// which receives typed events on watermill topics, and runs the supervisor tree.
package control

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/go-faster/errors"
)

// Topics of events.
const (
	TopicConfiguration = "configuration"
	TopicMembers       = "members"
	TopicPhase         = "phase"
	TopicStore         = "store"
)

// An Event is a message to the control goroutine.
type Event interface {
	// Topic returns the topic that the event is published on.
	Topic() string
}

// A ConfigurationChanged event reports the version of a new configuration in force.
type ConfigurationChanged struct {
	Version uint64 `json:"version"`
}

// Topic implements Event.
func (ConfigurationChanged) Topic() string { return TopicConfiguration }

// A MembersChanged event reports the number of members in each state.
type MembersChanged struct {
	Alive   int `json:"alive"`
	Leaving int `json:"leaving"`
	Suspect int `json:"suspect"`
}

// Topic implements Event.
func (MembersChanged) Topic() string { return TopicMembers }

// A PhaseChanged event reports that the instance enters a phase of its life cycle.
type PhaseChanged struct {
	Phase Phase `json:"phase"`
}

// Topic implements Event.
func (PhaseChanged) Topic() string { return TopicPhase }

// A StoreChanged event reports whether the store answers.
type StoreChanged struct {
	Reachable bool `json:"reached"`
}

// Topic implements Event.
func (StoreChanged) Topic() string { return TopicStore }

// topics lists the topics of all events.
var topics = []string{TopicConfiguration, TopicMembers, TopicPhase, TopicStore}

// A Bus carries events from any goroutine to the control goroutine.
type Bus struct {
	pubSub        *gochannel.GoChannel
	subscriptions map[string]<-chan *message.Message // by topic
}

// NewBus returns a Bus, which must be closed.
//
// It subscribes to all topics at once, for two reasons: gochannel holds a lock
// while a publisher waits, on which a later subscription would block forever; and
// events that are published while the control goroutine restarts would be lost.
func NewBus() (*Bus, error) {
	b := &Bus{
		// Waiting for acknowledgements keeps the events of one publisher in order.
		pubSub:        gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{}),
		subscriptions: make(map[string]<-chan *message.Message, len(topics)),
	}
	for _, topic := range topics {
		messages, err := b.pubSub.Subscribe(context.Background(), topic)
		if err != nil {
			return nil, errors.Wrapf(err, "subscribe to %s", topic)
		}
		b.subscriptions[topic] = messages
	}
	return b, nil
}

// Close ends all subscriptions and all blocked calls of Publish.
func (b *Bus) Close() error {
	if err := b.pubSub.Close(); err != nil {
		return errors.Wrap(err, "close bus")
	}
	return nil
}

// Publish sends e to the control goroutine and waits until e has been handled or
// the bus is closed.
func (b *Bus) Publish(e Event) error {
	payload, err := json.Marshal(e)
	if err != nil {
		return errors.Wrapf(err, "encode event on %s", e.Topic())
	}
	if err := b.pubSub.Publish(e.Topic(), message.NewMessage("", payload)); err != nil {
		return errors.Wrapf(err, "publish on %s", e.Topic())
	}
	return nil
}
