package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drain = 2500 * time.Millisecond
	// lingers is how long a replica that drains goes on serving.
	lingers      = 14 * time.Second
	drainClients = 8
)

// playDrain replaces a replica: a new one starts first, and the old one drains later. With the disruption, the idle
// channels to the store go silent after the first of the two changes.
func playDrain(w *world, trouble bool) ([]string, error) {
	ran := &arrivals{}
	add := func(i int) (*replica, error) {
		return w.addReplica(fmt.Sprintf("desk%d", i), "booking-desk", 6, answerAfter(30*time.Millisecond), ran.add)
	}
	old, err := add(0)
	if err != nil {
		return nil, err
	}
	if _, err := add(1); err != nil {
		return nil, err
	}
	_, err = w.publish(manifest{
		Version: 1, Services: []map[string]any{bookingDesk}, Routes: []map[string]any{plainRoute("check", "/check/", "idempotent", 2)},
		Tenants: []map[string]any{tenant("fitters", "key-one")},
	})
	if err != nil {
		return nil, err
	}
	e, err := w.startEntry("edge-1")
	if err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	var ended atomic.Bool
	for c := range drainClients {
		clients.Go(func() {
			for n := 0; !ended.Load(); n++ {
				w.once(e.front, request{ID: fmt.Sprintf("c%d-%d", c, n), Method: http.MethodGet, Path: fmt.Sprintf("/check/%d", n), Key: "key-one", Limit: 3 * time.Second})
				time.Sleep(rand.N(300 * time.Millisecond))
			}
		})
	}
	time.Sleep(contact + time.Second)
	answered := make(chan bool, 16)
	w.platform.onWatch(func(kind string, done bool) {
		if kind == "servers" && done {
			select {
			case answered <- true:
			default:
			}
		}
	})
	if _, err := add(2); err != nil {
		return nil, err
	}
	<-answered
	w.platform.onWatch(nil)
	time.Sleep(100 * time.Millisecond)
	if trouble {
		w.note("store: %d idle channels go silent", w.platform.silence(w))
	}
	// The entry is in touch again by then.
	time.Sleep(contact + time.Second)
	at, err := old.drain()
	if err != nil {
		return nil, err
	}
	id := old.currentID()
	time.Sleep(lingers)
	ended.Store(true)
	clients.Wait()
	late, last := 0, time.Duration(0)
	for _, a := range ran.list() {
		if since := a.At.Sub(at); a.Replica == id && a.Ran && since > drain {
			late++
			last = max(last, since)
		}
	}
	w.note("%d requests ran at %s later than %v after it announced that it drains, the last one after %v", late, id, drain, last)
	if late == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("%d requests reached %s later than %v after the store accepted that it drains, the last one %.1f s after it", late, id, drain, last.Seconds())}, nil
}
