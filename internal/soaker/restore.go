package soaker

import (
	"context"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	// maxStoreOutage bounds how long the store is away before it comes back from a copy.
	maxStoreOutage = 2 * time.Second
	// minCopyAge and copyAgeStep give the age of the copy, in steps of which there are copyAges.
	minCopyAge, copyAgeStep, copyAges = time.Second, 3 * time.Second, 4
	// rewriteSpread is the time within which backend servers write their entries again.
	rewriteSpread = 2 * time.Second
)

// restoreStore takes the store away and lets it come back in a new era, with an earlier state. The operator writes the
// plan again at once and living backend servers their entries a little later; entries of servers that are gone expire.
func (s *soak) restoreStore(ctx context.Context, inj Injection) {
	s.store.SetFaults(standin.StoreFaults{Busy: true})
	sleep(ctx, min(inj.Length, maxStoreOutage))
	s.store.Restore(time.Now().Add(-minCopyAge - time.Duration(inj.Pick%copyAges)*copyAgeStep))
	s.store.SetFaults(standin.StoreFaults{})
	s.mu.Lock()
	err := s.store.Publish(s.plan)
	s.mu.Unlock()
	s.reportError(err)
	s.restateEvacuation()
	for i, srv := range s.servers {
		sleep(ctx, rewriteSpread/time.Duration(len(s.servers)))
		s.reportError(srv.announceAgain())
		if i == len(s.servers)-1 {
			sleep(ctx, serverEntryTTL-rewriteSpread)
		}
	}
	live := map[string]bool{}
	for _, srv := range s.servers {
		live[srv.id()] = true
	}
	for _, key := range s.store.Keys("servers") {
		if !live[strings.TrimPrefix(key, "servers/")] {
			s.store.Remove(key)
		}
	}
}
