package admitter

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

const (
	// tellInterval is how often an entry tells its work while places are scarce. Shares change within seconds.
	tellInterval = time.Second
	// maxShareRowBytes is the largest size of an organisation's row in a message: the hashes of the service and the
	// organisation, the rank with a flag, and two numbers.
	maxShareRowBytes = 4 + 4 + 1 + 2*binary.MaxVarintLen32
	// maxShareRows is the number of rows in a message, which fits into 1,400 bytes with its type.
	maxShareRows = 1399 / maxShareRowBytes
	// maxToldMillis bounds the work that is taken from a row: what ten thousand places do within shareMemory.
	maxToldMillis = 10_000 * uint64(shareMemory/time.Millisecond)
	// scarceFlag is set in a row whose sender found no free place itself; what it only heard must not go round.
	scarceFlag = 0x80
)

var errShareRow = errors.New("row of a message about shares is malformed")

// shareRow is the work that one entry saw of one organisation since it last told of it.
type shareRow struct {
	service      serviceKey
	organisation organisationKey
	rank         int
	scarce       bool
	// asked and taken are in milliseconds.
	asked, taken uint64
}

// Broadcasts returns this entry's work since the last message, the largest first, as one message, while places are scarce. Messages
// add up at their receivers, so that a lost one loses only its own part.
func (s *Shares) Broadcasts(now time.Time) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.toldAt) < tellInterval {
		return nil
	}
	var rows []shareRow
	told := map[shareRow]*organisationWork{}
	for k, v := range s.services {
		if !v.isScarce(now) {
			continue
		}
		for rank := range v.pools {
			for org, w := range v.pools[rank].organisations {
				w.decay(now)
				r := shareRow{service: k, organisation: org, rank: rank, scarce: now.Before(v.scarceUntil), asked: uint64(w.untoldAsked), taken: uint64(w.untoldTaken)}
				if r.asked+r.taken > 0 {
					rows = append(rows, r)
					told[r] = w
				}
			}
		}
	}
	if len(rows) == 0 {
		return nil
	}
	s.toldAt = now
	slices.SortFunc(rows, func(a, b shareRow) int {
		return cmp.Or(cmp.Compare(b.asked+b.taken, a.asked+a.taken), cmp.Compare(a.organisation, b.organisation))
	})
	rows = rows[:min(len(rows), maxShareRows)]
	for _, r := range rows {
		told[r].untoldAsked, told[r].untoldTaken = 0, 0
	}
	return [][]byte{encodeShares(rows)}
}

// OnBroadcast adds the work in a message from another entry.
func (s *Shares) OnBroadcast(b []byte, now time.Time) {
	rows, err := decodeShares(b)
	if err != nil {
		s.cfg.Log.Debug().Err(err).Msg("admitter: work from another entry cannot be read")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		v := s.service(r.service, now)
		v.heardAt, v.usedAt = now, now
		if r.scarce {
			v.toldUntil = now.Add(scarceHold)
		}
		w := v.pools[r.rank].work(r.organisation, now)
		w.asked += float64(r.asked)
		w.taken += float64(r.taken)
	}
}

func encodeShares(rows []shareRow) []byte {
	b := make([]byte, 0, len(rows)*maxShareRowBytes)
	for _, r := range rows {
		b = binary.BigEndian.AppendUint32(b, uint32(r.service))
		b = binary.BigEndian.AppendUint32(b, uint32(r.organisation))
		flags := byte(r.rank)
		if r.scarce {
			flags |= scarceFlag
		}
		b = append(b, flags)
		b = binary.AppendUvarint(b, min(r.asked, maxToldMillis))
		b = binary.AppendUvarint(b, min(r.taken, maxToldMillis))
	}
	return b
}

func decodeShares(b []byte) ([]shareRow, error) {
	var rows []shareRow
	for len(b) > 0 {
		if len(b) < 9 {
			return nil, errShareRow
		}
		r := shareRow{service: serviceKey(binary.BigEndian.Uint32(b)), organisation: organisationKey(binary.BigEndian.Uint32(b[4:]))}
		r.scarce, r.rank = b[8]&scarceFlag != 0, int(b[8]&^scarceFlag)
		b = b[9:]
		asked, n := binary.Uvarint(b)
		taken, m := binary.Uvarint(b[max(n, 0):])
		if n <= 0 || m <= 0 || r.rank >= rankCount {
			return nil, errShareRow
		}
		r.asked, r.taken = min(asked, maxToldMillis), min(taken, maxToldMillis)
		rows = append(rows, r)
		b = b[n+m:]
	}
	return rows, nil
}
