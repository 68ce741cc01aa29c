package chooser

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

const (
	// sharingInterval is the shortest time between two messages of an entry. Answers count for minutes, and with 420
	// entries each receives 210 messages a second at most.
	sharingInterval = 2 * time.Second
	// sharedLevels is the number of keys whose answers are shared: all but the session, whose requests mostly come to
	// one entry.
	sharedLevels = 3
	// shareVersion is the first byte of a message; messages of other versions are ignored.
	shareVersion = 1
	// shareBytes is the size of a share: the hash of the key, the count, and three numbers.
	shareBytes = 8 + 1 + 3
	// maxShares is the number of shares in a message, which has 1,201 of the 1,400 bytes that it may have.
	maxShares = 100
	// maxShareAnswers bounds the answers of a share, so that they fit into a byte.
	maxShareAnswers = maxAnswers
)

var errShares = errors.New("the message with learned answers cannot be read")

// shareKey identifies a count: a key, and the position of the model, from maxCascadeModels on after a dropped answer.
type shareKey struct {
	hash uint64
	cell uint8
}

// cascadeShares holds the answers that this entry has seen since its last message. The load is that of many entries which
// each see few requests of a route: alone, none learns anything.
type cascadeShares struct {
	counts map[shareKey]answerCount
	sent   time.Time
}

// add counts an answer at a key. Answers beyond the size of a message are not shared, which does no harm.
func (s *cascadeShares) add(hash uint64, position int, followed, suffices bool, expected float64) {
	key := shareKey{hash: hash, cell: uint8(position)}
	if followed {
		key.cell += maxCascadeModels
	}
	c, ok := s.counts[key]
	if !ok && len(s.counts) >= maxShares || c.answers >= maxShareAnswers {
		return
	}
	if s.counts == nil {
		s.counts = map[shareKey]answerCount{}
	}
	c.add(suffices, expected)
	s.counts[key] = c
}

// Broadcasts returns the answers that this entry has seen since the last message, in at most one message for each
// sharingInterval and none without answers.
func (a *AdaptiveCascade) Broadcasts(now time.Time) [][]byte {
	k := a.knowledge
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.shares.counts) == 0 || now.Sub(k.shares.sent) < sharingInterval {
		return nil
	}
	b := make([]byte, 1, 1+shareBytes*len(k.shares.counts))
	b[0] = shareVersion
	for key, c := range k.shares.counts {
		b = binary.BigEndian.AppendUint64(b, key.hash)
		b = append(b, key.cell, byte(c.answers), byte(c.sufficient), byte(math.Round(float64(c.expected/c.answers)*math.MaxUint8)))
	}
	clear(k.shares.counts)
	k.shares.sent = now
	return [][]byte{b}
}

// OnBroadcast adds the answers that another entry has seen. A message that cannot be read is ignored.
func (a *AdaptiveCascade) OnBroadcast(b []byte, now time.Time) {
	if checkShares(b) != nil {
		return
	}
	a.knowledge.mu.Lock()
	defer a.knowledge.mu.Unlock()
	for b = b[1:]; len(b) > 0; b = b[shareBytes:] {
		r := a.knowledge.findOrAdd(binary.BigEndian.Uint64(b), now)
		cell, answers := int(b[8]), float32(b[9])
		c := &r.first[cell%maxCascadeModels]
		if cell >= maxCascadeModels {
			c = &r.after[cell%maxCascadeModels]
		}
		c.merge(answerCount{answers: answers, sufficient: float32(b[10]), expected: answers * float32(b[11]) / math.MaxUint8})
	}
}

// checkShares returns an error unless all of a message can be taken over.
func checkShares(b []byte) error {
	if len(b) == 0 || b[0] != shareVersion || (len(b)-1)%shareBytes != 0 || len(b) > 1+shareBytes*maxShares {
		return errShares
	}
	for b = b[1:]; len(b) > 0; b = b[shareBytes:] {
		if cell, answers, sufficient := b[8], b[9], b[10]; cell >= 2*maxCascadeModels || answers > maxShareAnswers || sufficient > answers {
			return errShares
		}
	}
	return nil
}

// merge adds answers, at the cost of old ones beyond maxAnswers.
func (c *answerCount) merge(more answerCount) {
	if over := c.answers + more.answers - maxAnswers; over > 0 && c.answers > 0 {
		c.scale(max(0, 1-over/c.answers))
	}
	c.answers += more.answers
	c.sufficient += more.sufficient
	c.expected += more.expected
}
