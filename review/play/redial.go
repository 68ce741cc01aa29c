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
	// lostShare and lostRate are the largest dose of answer_lost on the sites: the share of the replicas that lose
	// answers, and the share of the answers that they lose.
	lostShare, lostRate = 0.6, 0.4
	// lostTime is how long one disturbance lasts, lostRounds the number of disturbances, lostPause the pause between them.
	lostTime   = 4 * time.Second
	lostRounds = 3
	lostPause  = 6 * time.Second
	// deskReplicas is the number of replicas of the booking service, checkAttempts the route's max-attempts.
	deskReplicas, checkAttempts = 5, 2
	checkClients                = 24
)

// playRedial has replicas run requests and lose their answers, with a reset of the channel.
func playRedial(w *world, trouble bool) ([]string, error) {
	ran := &arrivals{}
	var losing atomic.Bool
	answer := answerAfter(0)
	for i := range deskReplicas {
		loses := float64(i) < lostShare*deskReplicas
		serve := func(r *replica, rw http.ResponseWriter, req *http.Request) {
			time.Sleep(10*time.Millisecond + rand.N(20*time.Millisecond))
			if loses && losing.Load() && rand.Float64() < lostRate {
				w.note("replica %s: the answer of request %s is lost", r.currentID(), req.Header.Get("X-Request-Id"))
				resetConn(rw)
				return
			}
			answer(r, rw, req)
		}
		if _, err := w.addReplica(fmt.Sprintf("desk%d", i), "booking-desk", 6, serve, ran.add); err != nil {
			return nil, err
		}
	}
	_, err := w.publish(manifest{
		Version: 1, Services: []map[string]any{bookingDesk}, Routes: []map[string]any{plainRoute("check", "/check/", "idempotent", checkAttempts)},
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
	for c := range checkClients {
		clients.Go(func() {
			var ch *channel
			for n := 0; !ended.Load(); n++ {
				if ch == nil {
					if ch, err = dial(e.front); err != nil {
						return
					}
				}
				a := ch.do(w, request{ID: fmt.Sprintf("c%d-%d", c, n), Method: http.MethodGet, Path: fmt.Sprintf("/check/%d", n), Key: "key-one", Limit: 3 * time.Second})
				if a.Err != nil || a.CloseAfter {
					ch.close()
					ch = nil
				}
				time.Sleep(rand.N(400 * time.Millisecond))
			}
		})
	}
	time.Sleep(contact + time.Second)
	for range lostRounds {
		losing.Store(trouble)
		time.Sleep(lostTime)
		losing.Store(false)
		time.Sleep(lostPause)
	}
	ended.Store(true)
	clients.Wait()
	ranAt := map[string]map[string]bool{}
	for _, a := range ran.list() {
		if !a.Ran {
			continue
		}
		if ranAt[a.ID] == nil {
			ranAt[a.ID] = map[string]bool{}
		}
		ranAt[a.ID][a.Replica] = true
	}
	over := 0
	for id, replicas := range ranAt {
		if len(replicas) > checkAttempts {
			over++
			w.note("request %s ran on %d replicas, max-attempts is %d", id, len(replicas), checkAttempts)
		}
	}
	w.note("%d requests, %d of them ran on more replicas than max-attempts", len(ranAt), over)
	if over <= 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("%d of %d requests ran on more than %d replicas, which is their route's max-attempts", over, len(ranAt), checkAttempts)}, nil
}
