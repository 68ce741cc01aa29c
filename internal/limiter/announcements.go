package limiter

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Announcement is what a backend server says of itself in the head of an answer.
type Announcement struct {
	// Limit is the number of requests a second that the server takes from all entries, if LimitNamed is set. An answer
	// without one lifts it if LimitKnown is set.
	Limit                  model.Rate
	LimitNamed, LimitKnown bool
	// Leaving means that the server leaves and wants no more requests.
	Leaving bool
	// Rest is how long the server, which turned a request away, wants nothing from this entry. If RestKnown is set, 0
	// means that it does not ask for rest.
	Rest      time.Duration
	RestKnown bool
}

// Permission says whether a backend server may get a request now.
type Permission struct {
	// Leaving means that it gets none until its next start.
	Leaving bool
	// Limited means that it takes only a limited number of requests a second, since it names a limit or is cold, Cold
	// the latter, Resting that it rests.
	Limited, Cold, Resting bool
	// Wait is the time until it may get one, unless it leaves: it rests, or its limit is used up.
	Wait time.Duration
}

// Allowed reports whether the server may get a request now.
func (p Permission) Allowed() bool { return !p.Leaving && p.Wait <= 0 }

// Announcements keeps what backend servers said of themselves, for each start of a server, and decides from it whether a
// server may get a request. Every answer is observed, and every request asks for its server, so that what was heard on
// one path binds all others.
type Announcements struct {
	Limits  *ServerLimits
	Leaving *LeavingServers
	Resting *RestingServers
	// Cold is nil where cold servers are not limited.
	Cold *ColdServers
}

// Observe records the announcement in an answer of a backend server.
func (a Announcements) Observe(s model.ServerLifetime, n Announcement, now time.Time) {
	if n.Leaving {
		a.Leaving.Observe(s, now)
	}
	if n.RestKnown {
		a.Resting.Observe(s, n.Rest, now)
	}
	if n.LimitNamed || n.LimitKnown {
		a.Limits.Observe(s, n.Limit, n.LimitNamed, now)
	}
}

// Check reports whether a backend server may get a request now.
func (a Announcements) Check(s model.BackendServer, now time.Time) Permission {
	p := Permission{Leaving: a.Leaving.IsLeaving(s.Lifetime())}
	p.Limited, p.Wait = a.Limits.Check(s, now)
	if a.Cold != nil {
		var wait time.Duration
		p.Cold, wait = a.Cold.Check(s, now)
		p.Limited, p.Wait = p.Limited || p.Cold, max(p.Wait, wait)
	}
	rest := a.Resting.Wait(s.Lifetime(), now)
	p.Resting, p.Wait = rest > 0, max(p.Wait, rest)
	return p
}

// Take counts a request to a backend server and returns true, or returns false if the server may not get it now.
func (a Announcements) Take(s model.BackendServer, now time.Time) bool {
	return !a.Leaving.IsLeaving(s.Lifetime()) && a.Resting.Take(s.Lifetime(), now) && a.Limits.Take(s, now) &&
		(a.Cold == nil || a.Cold.Take(s, now))
}
