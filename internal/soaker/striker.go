package soaker

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	// harmedShare is the part of requests that a faulty backend server harms.
	harmedShare = 0.5
	// delayed is the delay of each piece of data on a slow link, slowStore that of the store's answers.
	delayed   = 40 * time.Millisecond
	slowStore = 200 * time.Millisecond
	// lapseAfter is how long the store keeps the entry of a backend server that crashed.
	lapseAfter = 3600 * time.Millisecond
)

// strike lets one fault happen and mends it.
func (s *soak) strike(ctx context.Context, b blow) {
	e := s.entries[b.Pick%len(s.entries)]
	v := s.servers[b.Pick%len(s.servers)]
	from := time.Now()
	target := ""
	switch b.Kind {
	case entryKill, entryStop, entryPause, entryReload, callerDelay, callerReset, storeSilent, storeOneWay, storeRefuse:
		target = e.Name
		s.strikeEntry(ctx, b, e)
	case serverCrash, serverHang, serverFail, serverLose, serverBusy, serverSpill, serverDrain, serverSilent, serverOneWay, serverReset:
		target = v.id()
		s.strikeServer(ctx, b, v)
	case storeBusy, storeSlow, storeLost, storeForget:
		s.strikeStore(ctx, b)
	case planChange, keyRevoke:
		s.changePlan(b)
	}
	s.note(func(h *history) {
		h.Spans = append(h.Spans, span{Kind: b.Kind, Target: target, From: from, To: time.Now()})
	})
}

func (s *soak) strikeEntry(ctx context.Context, b blow, e *entry) {
	switch b.Kind {
	case entryKill, entryStop:
		e.turn.Lock()
		defer e.turn.Unlock()
		if b.Kind == entryKill {
			e.end(syscall.SIGKILL, time.Second)
		} else {
			s.stop(e)
		}
		sleep(ctx, restartPause)
		if err := e.start(); err != nil {
			s.fail(err)
			return
		}
		s.awaitReady(e, readyWait)
	case entryPause:
		e.turn.Lock()
		defer e.turn.Unlock()
		e.signal(syscall.SIGSTOP)
		sleep(ctx, b.For)
		e.signal(syscall.SIGCONT)
	case entryReload:
		e.turn.Lock()
		defer e.turn.Unlock()
		e.signal(syscall.SIGHUP)
	case callerDelay:
		s.harmLink(ctx, e.callers, link{delay: delayed}, b.For)
	case callerReset:
		e.callers.reset()
	case storeSilent:
		s.harmLink(ctx, e.store, link{stall: true, stallBack: true}, b.For)
	case storeOneWay:
		s.harmLink(ctx, e.store, link{stallBack: true}, b.For)
	case storeRefuse:
		e.store.reset()
		s.harmLink(ctx, e.store, link{refuse: true}, b.For)
	}
}

func (s *soak) harmLink(ctx context.Context, p *proxy, l link, d time.Duration) {
	p.set(l)
	sleep(ctx, d)
	p.set(link{})
}

// serverHarm tells how a backend server misbehaves by a fault of its own.
var serverHarm = map[fault]standin.ServerFaults{
	serverHang: {Hang: true}, serverFail: {ErrorRate: harmedShare}, serverLose: {ResetRate: harmedShare, TruncateRate: harmedShare},
	serverBusy: {Busy: true}, serverSpill: {TrailingBytesRate: harmedShare},
}

func (s *soak) strikeServer(ctx context.Context, b blow, v *server) {
	switch b.Kind {
	case serverCrash:
		v.turn.Lock()
		defer v.turn.Unlock()
		id := v.id()
		v.crash()
		go func() {
			time.Sleep(lapseAfter)
			s.store.Remove("servers/" + id)
		}()
		sleep(ctx, b.For)
		s.fail(v.begin())
	case serverDrain:
		v.turn.Lock()
		defer v.turn.Unlock()
		id := v.id()
		s.fail(v.leave())
		s.note(func(h *history) { h.Leaving = append(h.Leaving, leaving{Server: id, At: time.Now()}) })
		sleep(ctx, standin.DrainMs*time.Millisecond+time.Second)
		s.store.Remove("servers/" + id)
		v.crash()
		s.fail(v.begin())
	case serverSilent:
		s.harmLink(ctx, v.link, link{stall: true, stallBack: true}, b.For)
	case serverOneWay:
		s.harmLink(ctx, v.link, link{stallBack: true}, b.For)
	case serverReset:
		v.link.reset()
	default:
		v.harm(serverHarm[b.Kind])
		sleep(ctx, b.For)
		v.harm(standin.ServerFaults{})
	}
}

func (s *soak) strikeStore(ctx context.Context, b blow) {
	switch b.Kind {
	case storeBusy:
		s.store.SetFaults(standin.StoreFaults{Busy: true})
	case storeSlow:
		s.store.SetFaults(standin.StoreFaults{Delay: slowStore})
	case storeLost:
		s.store.SetFaults(standin.StoreFaults{LostAnswerRate: harmedShare})
	case storeForget:
		s.store.SetFaults(standin.StoreFaults{SilentWatches: true})
		sleep(ctx, min(b.For, time.Second))
		s.store.DropHistory()
		s.store.SetFaults(standin.StoreFaults{})
		return
	}
	sleep(ctx, b.For)
	s.store.SetFaults(standin.StoreFaults{})
}

// changePlan writes a new version of the plan, with a key less if one is revoked.
func (s *soak) changePlan(b blow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Version += 1 + b.Pick%5
	key := fmt.Sprintf("key-%d", 1+b.Pick%(sharedKeys-1))
	if b.Kind == keyRevoke {
		delete(s.plan.Keys, key)
	}
	if err := s.store.Publish(s.plan); err != nil {
		s.broken = append(s.broken, err.Error())
		return
	}
	if _, gone := s.history.Revoked[key]; b.Kind == keyRevoke && !gone {
		s.history.Revoked[key] = time.Now()
	}
}

// fail notes that the soak itself could not do something.
func (s *soak) fail(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, err.Error())
}
