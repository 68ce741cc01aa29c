package forwarder

import "time"

// silenceCheckInterval is how often an attempt that goes on although its backend server is silent is reconsidered.
const silenceCheckInterval = time.Second

// extendWait lets an attempt wait for a silent backend server for another while, and reports false if the caller is
// better served by the end of the attempt: its time is over, or another attempt may still answer it. A backend server
// that reads a long body slowly is not silent.
func (f *Forwarder) extendWait(c *call, rep *reply, p *peer, now time.Time) bool {
	if !now.Before(c.deadline) {
		return false
	}
	if until := rep.sending.waitUntil(rep.sending.state(rep.conn.Conn), now); until.After(now) {
		until = now.Add(min(until.Sub(now), silenceCheckInterval, c.deadline.Sub(now)))
		return rep.conn.SetReadDeadline(until) == nil
	}
	if f.hasAlternative(c, p, now) {
		return false
	}
	if !c.outwaited {
		c.outwaited = true
		f.cfg.Meter.Count("attempts/outwaited", 1)
		f.cfg.Log.Info().Str("request", c.id).Str("backend", string(p.server.Backend)).Int("sent", c.sent).
			Msg("forwarder: the backend server is silent and no other attempt is possible, waiting on")
	}
	until := now.Add(silenceCheckInterval)
	if until.After(c.deadline) {
		until = c.deadline
	}
	return rep.conn.SetReadDeadline(until) == nil
}

// hasAlternative reports whether the request may be sent to a backend server other than p that is not known to be
// broken or full.
func (f *Forwarder) hasAlternative(c *call, p *peer, now time.Time) bool {
	if !isRetryable(c) || c.unresumable || c.sent >= c.route.Attempts || !f.retryBudget.CanRetry(c.service.Service, 0, now) {
		return false
	}
	for _, s := range f.candidates(c, now) {
		if s.Backend == p.server.Backend || !f.cfg.Announcements.Check(s, now).Allowed() {
			continue
		}
		if f.peers.get(s, now).maySend(s.Slots, f.remoteWork(s.Backend, now), now) {
			return true
		}
	}
	return false
}
