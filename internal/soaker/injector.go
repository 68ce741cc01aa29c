package soaker

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	// faultRate is the share of requests that a fault of a backend server or of the store affects.
	faultRate = 0.5
	// linkDelay is the delay of each piece of data on a slow link, storeDelay that of the store's responses.
	linkDelay  = 40 * time.Millisecond
	storeDelay = 200 * time.Millisecond
	// serverEntryTTL is how long the store keeps the entry of a crashed backend server.
	serverEntryTTL = 3600 * time.Millisecond
)

// maxSecondSignal bounds the time from a SIGTERM to the second one.
const maxSecondSignal = time.Second

// stopEntries stops all entries and starts them again: at once, or beginning with each a part of the fault's length after
// the one before.
func (s *soak) stopEntries(ctx context.Context, inj Injection) {
	var wg sync.WaitGroup
	for i := range s.entries {
		wg.Go(func() { s.inject(ctx, Injection{Kind: entryStop, Length: inj.Length, Pick: inj.Pick + i}) })
		if inj.Kind == entriesRoll {
			sleep(ctx, inj.Length/time.Duration(len(s.entries)))
		}
	}
	wg.Wait()
}

// inject injects one fault, waits until it has ended and adds its time span to the history.
func (s *soak) inject(ctx context.Context, inj Injection) {
	e := s.entries[inj.Pick%len(s.entries)]
	srv := s.servers[inj.Pick%len(s.servers)]
	start := time.Now()
	target := ""
	switch inj.Kind {
	case entriesStop, entriesRoll:
		s.stopEntries(ctx, inj)
		return
	case entryKill, entryStop, entryStopTwice, entryPause, entryReload, callerDelay, callerReset, storeSilent, storeOneWay, storeRefuse, storeMute:
		target = e.Name
		s.injectEntryFault(ctx, inj, e)
	case serverCrash, serverHang, serverFail, serverLose, serverBusy, serverSurplus, serverDrain, serverSilent, serverOneWay, serverReset, serverMute, serverLimit, serverLeave, serverRest, serverRepeat:
		target = srv.id()
		s.injectServerFault(ctx, inj, srv)
	case storeBusy, storeSlow, storeLost, storeForget, storeRestore:
		s.injectStoreFault(ctx, inj)
	case oddEntry:
		target = s.leaveOddEntry(ctx, inj)
	case streamsBreak:
		s.breakStreams(ctx, inj)
		return
	case domainEvacuate, domainReturn:
		s.injectDomainFault(ctx, inj)
		return
	case promptCrash:
		s.sendCrashingRequests(ctx, inj)
	case planChange, keyRevoke:
		s.changePlan(inj)
	default:
		s.reportError(fmt.Errorf("fault %q does not exist", inj.Kind))
	}
	s.updateHistory(func(h *history) {
		h.Spans = append(h.Spans, faultSpan{Kind: inj.Kind, Target: target, From: start, To: time.Now()})
	})
}

func (s *soak) injectEntryFault(ctx context.Context, inj Injection, e *entry) {
	switch inj.Kind {
	case entryKill, entryStop, entryStopTwice:
		e.faultMu.Lock()
		defer e.faultMu.Unlock()
		switch inj.Kind {
		case entryKill:
			e.terminate(syscall.SIGKILL, time.Second)
		case entryStopTwice:
			s.stopEntry(e, min(inj.Length/2, maxSecondSignal))
		default:
			s.stopEntry(e, 0)
		}
		sleep(ctx, restartDelay)
		if err := e.start(); err != nil {
			s.reportError(err)
			return
		}
		s.awaitReady(e, readyTimeout)
	case entryPause:
		e.faultMu.Lock()
		defer e.faultMu.Unlock()
		e.signal(syscall.SIGSTOP)
		sleep(ctx, inj.Length)
		e.signal(syscall.SIGCONT)
	case entryReload:
		if e.signalStopping(syscall.SIGHUP) {
			return
		}
		e.faultMu.Lock()
		defer e.faultMu.Unlock()
		e.signal(syscall.SIGHUP)
	case callerDelay:
		s.disturbLink(ctx, e.callers, link{delay: linkDelay}, inj.Length)
	case callerReset:
		e.callers.resetConns()
	case storeSilent:
		s.disturbLink(ctx, e.store, link{stallForward: true, stallBack: true}, inj.Length)
	case storeOneWay:
		s.disturbLink(ctx, e.store, link{stallBack: true}, inj.Length)
	case storeMute:
		// All, each second one, or that on which the servers are watched.
		e.store.silence([]string{"", "", "/servers?"}[inj.Pick%3], inj.Pick%3 == 1)
	case storeRefuse:
		e.store.resetConns()
		s.disturbLink(ctx, e.store, link{refuse: true}, inj.Length)
	}
}

func (s *soak) disturbLink(ctx context.Context, p *proxy, l link, d time.Duration) {
	p.setLink(l)
	sleep(ctx, d)
	p.setLink(link{})
}

// serverFaultsByKind holds the fault switches of a backend server for the faults that it causes itself.
var serverFaultsByKind = map[fault]standin.ServerFaults{
	serverHang: {Hang: true}, serverFail: {ErrorRate: faultRate}, serverLose: {ResetRate: faultRate, TruncateRate: faultRate},
	serverBusy: {Busy: true}, serverSurplus: {TrailingBytesRate: faultRate},
	serverRepeat: {RepeatRefusals: true},
}

func (s *soak) injectServerFault(ctx context.Context, inj Injection, srv *serverSlot) {
	switch inj.Kind {
	case serverCrash:
		srv.faultMu.Lock()
		defer srv.faultMu.Unlock()
		id := srv.id()
		srv.crash()
		go func() {
			time.Sleep(serverEntryTTL)
			s.store.Remove("servers/" + id)
		}()
		sleep(ctx, inj.Length)
		s.reportError(srv.launch())
	case serverDrain:
		srv.faultMu.Lock()
		defer srv.faultMu.Unlock()
		id := srv.id()
		s.reportError(srv.announceDrain())
		s.updateHistory(func(h *history) { h.Drains = append(h.Drains, drainStart{Server: id, At: time.Now()}) })
		sleep(ctx, standin.DrainMs*time.Millisecond+time.Second)
		s.store.Remove("servers/" + id)
		s.endServer(srv)
	case serverSilent:
		s.disturbLink(ctx, srv.link, link{stallForward: true, stallBack: true}, inj.Length)
	case serverOneWay:
		s.disturbLink(ctx, srv.link, link{stallBack: true}, inj.Length)
	case serverReset:
		srv.link.resetConns()
	case serverMute:
		srv.link.silence("", inj.Pick%2 == 0)
	case serverLimit:
		s.nameLimit(ctx, inj, srv)
	case serverLeave:
		s.leave(ctx, inj, srv)
	case serverRest:
		defer srv.addFaults(standin.ServerFaults{Busy: true, Rest: restTime})()
		sleep(ctx, inj.Length)
	default:
		defer srv.addFaults(serverFaultsByKind[inj.Kind])()
		sleep(ctx, inj.Length)
	}
}

func (s *soak) injectStoreFault(ctx context.Context, inj Injection) {
	switch inj.Kind {
	case storeBusy:
		s.store.SetFaults(standin.StoreFaults{Busy: true})
	case storeSlow:
		s.store.SetFaults(standin.StoreFaults{Delay: storeDelay})
	case storeLost:
		s.store.SetFaults(standin.StoreFaults{LostAnswerRate: faultRate})
	case storeForget:
		s.store.SetFaults(standin.StoreFaults{SilentWatches: true})
		sleep(ctx, min(inj.Length, time.Second))
		s.store.DropHistory()
		s.store.SetFaults(standin.StoreFaults{})
		return
	case storeRestore:
		s.restoreStore(ctx, inj)
		return
	}
	sleep(ctx, inj.Length)
	s.store.SetFaults(standin.StoreFaults{})
}

// changePlan publishes a new version of the plan, without one of the keys if the fault revokes a key.
func (s *soak) changePlan(inj Injection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan.Version += 1 + inj.Pick%5
	key := fmt.Sprintf("key-%d", 1+inj.Pick%(keyCount-1))
	if inj.Kind == keyRevoke {
		delete(s.plan.Keys, key)
	}
	if err := s.store.Publish(s.plan); err != nil {
		s.violations = append(s.violations, err.Error())
		return
	}
	if _, revoked := s.history.RevokedAt[key]; inj.Kind == keyRevoke && !revoked {
		s.history.RevokedAt[key] = time.Now()
	}
}

// reportError records a failure of the soak itself as a violation.
func (s *soak) reportError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, err.Error())
}
