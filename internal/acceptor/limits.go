package acceptor

import "time"

// limitCheckInterval is how often connections are looked for that began with a lower limit for headers than the present one.
const limitCheckInterval = 250 * time.Millisecond

// closeLowerLimits closes idle connections that began with a lower limit for headers than the present one, until stop is
// closed: net/http would refuse requests on them that are allowed now. Others are closed after their next answer.
func (a *Acceptor) closeLowerLimits(stop <-chan struct{}) {
	t := time.NewTicker(limitCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			present := a.cfg.Limits()
			a.mu.Lock()
			generations := a.generations
			a.mu.Unlock()
			for _, g := range generations {
				if g.limits.HeaderBytes >= present.HeaderBytes {
					continue
				}
				for _, c := range g.list() {
					c.closeIfQuiet(now)
				}
			}
		}
	}
}
