package relayer

import (
	"context"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// MethodFollow is the control call by which an entry polls a relay.
	MethodFollow messenger.Method = "follow"
	// pollWait is the longest that a relay holds a poll. Short polls find a relay that fell silent early.
	pollWait = 400 * time.Millisecond
	// pollTimeout is how long a poll may take, with the way there and back.
	pollTimeout = 2 * pollWait
)

// Update holds the changes of one kind up to a revision of the store; with Full set, all its objects.
type Update struct {
	Revision model.Revision  `json:"revision"`
	Full     bool            `json:"full,omitempty"`
	Objects  []storer.Object `json:"objects,omitempty"`
}

// PollRequest asks a relay for the changes after the revisions that are known of each kind.
type PollRequest struct {
	Known map[string]model.Revision `json:"known"`
	// AtOnce asks for an answer without waiting for changes. Who asks so does not follow the relay.
	AtOnce bool `json:"at_once,omitempty"`
}

// PollReply holds the changes and how old the relay's knowledge is. Only durations cross between machines.
// The plan itself, which may be large, is read from the store; the reply says which revision is the newest.
type PollReply struct {
	Kinds map[string]Update `json:"kinds,omitempty"`
	// Confirmed reports whether the store ever confirmed the relay's plan, Plan its revision, and Age how long
	// ago it was the newest.
	Confirmed bool           `json:"confirmed"`
	Plan      model.Revision `json:"plan"`
	// Version is the version of the plan that the relay has in force, whether or not the store confirms it.
	Version int64         `json:"version,omitempty"`
	Age     time.Duration `json:"age"`
	// Held is how long the relay held the poll before it computed Age.
	Held time.Duration `json:"held"`
	// Regained is how long ago the store returned from its last outage, if the relay saw one.
	Regained *time.Duration `json:"regained,omitempty"`
}

// AsOf returns the time since boot as of which the plan is known to be the newest to the receiver of the reply
// whose poll was sent at a time since boot. The relay cannot have got the poll earlier than that, and
// answered Held later, so a late reply is older and never wrong.
func (r PollReply) AsOf(sent time.Duration) time.Duration { return sent + r.Held - r.Age }

// Answer holds a poll until there are changes or a newer confirmation, at most for pollWait. Clock returns the
// time since boot, which also counts while the computer is suspended.
func (f *Feed) Answer(ctx context.Context, in PollRequest, clock func() time.Duration) PollReply {
	arrived := clock()
	timer := time.NewTimer(pollWait)
	defer timer.Stop()
	first, waiting := time.Duration(0), !in.AtOnce
	for round := 0; ; round++ {
		f.mu.Lock()
		if !in.AtOnce {
			f.polledAt, f.polled = arrived, true
		}
		reply := f.reply(in)
		if round == 0 {
			first = f.confirmedAt
		}
		if len(reply.Kinds) > 0 || f.confirmedAt > first || !waiting {
			now := clock()
			reply.Version = f.version
			reply.Confirmed, reply.Plan, reply.Age, reply.Held = f.everConfirmed, f.plan, now-f.confirmedAt, now-arrived
			if f.regained {
				ago := now - f.regainedAt
				reply.Regained = &ago
			}
			f.mu.Unlock()
			return reply
		}
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
}

// reply returns the changes that a poll asks for; the caller holds the lock.
func (f *Feed) reply(in PollRequest) PollReply {
	out := PollReply{}
	for kind, from := range in.Known {
		if u := f.since(kind, from); u != nil {
			if out.Kinds == nil {
				out.Kinds = map[string]Update{}
			}
			out.Kinds[kind] = *u
		}
	}
	return out
}

// Serve answers polls on a control server.
func (f *Feed) Serve(s *messenger.Server, clock func() time.Duration) {
	messenger.Handle(s, MethodFollow, func(ctx context.Context, _ messenger.Peer, in PollRequest) (PollReply, error) {
		return f.Answer(ctx, in, clock), nil
	})
}

// Poll polls the relay at an address.
func Poll(ctx context.Context, p *messenger.Pool, address string, in PollRequest) (PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reply, err := messenger.Call[PollReply](ctx, p, address, MethodFollow, in)
	if err != nil {
		// A connection that fell silent stays so; the next poll dials again.
		p.Drop(address)
	}
	return reply, err
}
