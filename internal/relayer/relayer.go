// Package relayer spreads what a few entries of a region read from the store to the other entries of the
// region, so that the store's load does not grow with the fleet and an entry that the store turns away
// still learns of changes.
package relayer

import (
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// minRelays is the number of relays of a small region.
	minRelays = 2
	// entriesPerRelay is the number of entries of a large failure domain for each of its relays.
	entriesPerRelay = 16
	// AskedRelays is the number of relays that an entry polls at a time.
	AskedRelays = 2
	// defaultApplyWithin is how long a change may take until it is in force if the settings do not say.
	defaultApplyWithin = 4 * time.Second
	// maxAgePart is the part of that time for which an entry may rely on relays that tell of nothing; the rest is
	// for reading the store itself.
	maxAgePart = 0.5
	// minWait is the shortest wait of a relay's watch, and watchSlack what its knowledge ages beyond two waits
	// while the store answers: the time of a call and the pause after a change.
	minWait    = 300 * time.Millisecond
	watchSlack = 400 * time.Millisecond
	// ownWaitPart is the part of that time for which a watch of the plan may wait. Its connection may have fallen silent
	// meanwhile; the rest is for noticing that the answer is late, a new connection and the repeated call.
	ownWaitPart = 0.4
)

// Timing holds the times that follow from how long a change may take until it is in force.
type Timing struct {
	// MaxAge is the age of the relays' knowledge from which an entry watches for itself.
	MaxAge time.Duration
	// Wait is the longest wait of one watch of the plan at a relay, so that its knowledge stays younger than MaxAge.
	Wait time.Duration
	// OwnWait is the longest wait of one watch of the plan at an entry that nobody follows.
	OwnWait time.Duration
}

// NewTiming returns the times for changes that must be in force within a duration; 0 selects the default.
func NewTiming(applyWithin time.Duration) Timing {
	if applyWithin <= 0 {
		applyWithin = defaultApplyWithin
	}
	t := Timing{MaxAge: time.Duration(maxAgePart * float64(applyWithin))}
	t.Wait = max((t.MaxAge-watchSlack)/2, minWait)
	t.OwnWait = max(time.Duration(ownWaitPart*float64(applyWithin)), minWait)
	return t
}

// UseRelays reports whether an entry relies on relays, whose knowledge has an age, instead of own watches.
func (t Timing) UseRelays(c Choice, age time.Duration) bool {
	return !c.Relay && len(c.Ask) > 0 && age < t.MaxAge
}

// ChooseInput is the input of Choose.
type ChooseInput struct {
	Self model.Instance
	// Members are the other known entries of all regions; Control is the address of their relay.
	Members []model.Instance
	// FailedUntil holds the entries that did not answer lately, and until when they are left out.
	FailedUntil map[model.InstanceID]time.Time
}

// Choice says where an entry reads the store's objects.
type Choice struct {
	// Relay is set if the entry is a relay itself: it watches the store.
	Relay bool
	// Ask holds the relays that the entry polls otherwise, at most two. The first is in the own failure domain if
	// that has one, since bytes between domains are dear; the second is in another one if there is one.
	Ask []model.Instance
}

// Choose ranks the entries of each failure domain of the own region by rendezvous hashing; the first ones are its
// relays. Entries with different views may choose different relays, which costs calls and breaks nothing. It is
// made for fleets of hundreds of entries, which would spend the store's rate if each watched for itself.
func Choose(in ChooseInput, now time.Time) Choice {
	live := []model.Instance{in.Self}
	for _, m := range in.Members {
		if m.Place.Region == in.Self.Place.Region && m.Instance != in.Self.Instance && !now.Before(in.FailedUntil[m.Instance]) {
			live = append(live, m)
		}
	}
	relays := chooseRelays(live)
	for _, r := range relays {
		if r.Instance == in.Self.Instance {
			return Choice{Relay: true}
		}
	}
	return Choice{Ask: askedRelays(registrar.Rank(string(in.Self.Instance), relays), in.Self.Place.Domain)}
}

// chooseRelays returns the relays of a region's entries: one for each entriesPerRelay of a domain, at least one
// of each domain and minRelays in all.
func chooseRelays(live []model.Instance) []model.Instance {
	ranked := registrar.Rank("relay", live)
	entries := map[model.DomainID]int{}
	for _, m := range ranked {
		entries[m.Place.Domain]++
	}
	var relays, others []model.Instance
	chosen := map[model.DomainID]int{}
	for _, m := range ranked {
		d := m.Place.Domain
		if chosen[d]*entriesPerRelay < entries[d] {
			chosen[d]++
			relays = append(relays, m)
		} else {
			others = append(others, m)
		}
	}
	missing := min(max(minRelays-len(relays), 0), len(others))
	return append(relays, others[:missing]...)
}

// askedRelays returns the first ranked relay of a domain, or of all if it has none, and the next one in another
// domain than that, or the next one.
func askedRelays(ranked []model.Instance, own model.DomainID) []model.Instance {
	first := max(slices.IndexFunc(ranked, func(m model.Instance) bool { return m.Place.Domain == own }), 0)
	ask := []model.Instance{ranked[first]}
	rest := slices.Delete(slices.Clone(ranked), first, first+1)
	if len(rest) == 0 {
		return ask
	}
	second := max(slices.IndexFunc(rest, func(m model.Instance) bool { return m.Place.Domain != ask[0].Place.Domain }), 0)
	return append(ask, rest[second])
}
