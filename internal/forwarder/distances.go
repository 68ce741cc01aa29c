package forwarder

import (
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// connectWindow is the time over which the shortest connect time is taken. Congestion and busy hosts make single
	// connects slower, but hardly all of a minute.
	connectWindow = time.Minute
	// minConnects is the number of connects from which the shortest one counts.
	minConnects = 5
	// distanceMaxAge is how long a distance counts after the last connect: links rarely change.
	distanceMaxAge = 10 * time.Minute
	// maxPlaces bounds the table; a deployment has some dozen failure domains.
	maxPlaces = 256
)

// distances holds the shortest connect times from this entry to the backend servers of each failure domain.
type distances struct {
	mu     sync.RWMutex
	places map[model.Place]*connectTimes
}

// connectTimes holds the shortest connect times of the window that runs and of the one before.
type connectTimes struct {
	current, previous connectMin
	started, last     time.Time
}

// connectMin is the shortest of n connect times.
type connectMin struct {
	shortest time.Duration
	n        int
}

func (m connectMin) add(o connectMin) connectMin {
	switch {
	case m.n == 0:
		return o
	case o.n == 0:
		return m
	}
	return connectMin{shortest: min(m.shortest, o.shortest), n: m.n + o.n}
}

// observe records how long a connection to a backend server at a place took to open.
func (d *distances) observe(place model.Place, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.places[place]
	if t == nil {
		d.makeRoom()
		t = &connectTimes{started: now}
		d.places[place] = t
	}
	if now.Sub(t.last) > distanceMaxAge {
		*t = connectTimes{started: now}
	}
	// A window without enough connects goes on, so that few connects do not make the distance unknown.
	if now.Sub(t.started) >= connectWindow && t.current.n >= minConnects {
		t.previous, t.current, t.started = t.current, connectMin{}, now
	}
	t.current, t.last = t.current.add(connectMin{shortest: took, n: 1}), now
}

// makeRoom removes the place that was connected to longest ago from a full table; the caller holds the lock.
func (d *distances) makeRoom() {
	if d.places == nil {
		d.places = map[model.Place]*connectTimes{}
	}
	if len(d.places) < maxPlaces {
		return
	}
	var oldest model.Place
	for place, t := range d.places {
		if o := d.places[oldest]; o == nil || t.last.Before(o.last) {
			oldest = place
		}
	}
	delete(d.places, oldest)
}

// roundTrip returns the connect time to a place, 0 if it is not known.
func (d *distances) roundTrip(place model.Place, now time.Time) time.Duration {
	d.mu.RLock()
	defer d.mu.RUnlock()
	t := d.places[place]
	if t == nil || now.Sub(t.last) > distanceMaxAge {
		return 0
	}
	m := t.previous.add(t.current)
	if m.n < minConnects {
		return 0
	}
	return m.shortest
}
