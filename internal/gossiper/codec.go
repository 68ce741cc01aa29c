package gossiper

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// The first byte of a message is its type; messages of other types are rejected. The types of broadcasts follow
// messageBroadcast, one for each topic.
const (
	messageWork      = 1
	messageBroadcast = 2
	// messageWorkTokens is a messageWork whose rows also have tokens. Entries of earlier versions ignore it; it is sent
	// only if there are tokens, so that all understand each other where no capacity is known.
	messageWorkTokens = 255
)

var (
	errMessageType = errors.New("message type is unknown")
	errTruncated   = errors.New("message is truncated")
)

// encodeWork writes the message type and a row for each backend server: its short ID, the unanswered requests, the
// backlog in milliseconds and, if any request holds tokens, the tokens. It leaves out rows beyond maxMessageBytes; which
// ones they are changes with each message.
func encodeWork(work map[model.BackendID]OpenWork) []byte {
	b := []byte{messageWork}
	for _, w := range work {
		if w.Tokens > 0 {
			b[0] = messageWorkTokens
			break
		}
	}
	for id, w := range work {
		row := appendRow(b, shortID(id), w, b[0] == messageWorkTokens)
		if len(row) > maxMessageBytes {
			break
		}
		b = row
	}
	return b
}

func appendRow(b []byte, id uint32, w OpenWork, tokens bool) []byte {
	b = binary.BigEndian.AppendUint32(b, id)
	b = binary.AppendUvarint(b, uint64(min(max(w.Unanswered, 0), maxUnanswered)))
	b = binary.AppendUvarint(b, uint64(min(max(w.Backlog.Milliseconds(), 0), maxBacklogMillis)))
	if tokens {
		b = binary.AppendUvarint(b, uint64(min(max(w.Tokens, 0), maxTokens)))
	}
	return b
}

func decodeWork(b []byte) (map[uint32]OpenWork, error) {
	if len(b) == 0 || b[0] != messageWork && b[0] != messageWorkTokens {
		return nil, errMessageType
	}
	// The numbers of a row, in their order, with their largest values.
	limits := []uint64{maxUnanswered, maxBacklogMillis, maxTokens}
	if b[0] == messageWork {
		limits = limits[:2]
	}
	b = b[1:]
	out := map[uint32]OpenWork{}
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, errTruncated
		}
		id := binary.BigEndian.Uint32(b)
		b = b[4:]
		var row [3]uint64
		for i, limit := range limits {
			v, n := binary.Uvarint(b)
			if n <= 0 {
				return nil, errTruncated
			}
			row[i], b = min(v, limit), b[n:]
		}
		out[id] = OpenWork{Unanswered: int(row[0]), Backlog: time.Duration(row[1]) * time.Millisecond, Tokens: model.Tokens(row[2])}
	}
	return out, nil
}

// maxUnanswered, maxBacklogMillis and maxTokens bound the values in a message: more requests than an entry can hold, an
// hour, and more tokens than an engine can hold.
const (
	maxUnanswered    = 1 << 20
	maxBacklogMillis = 3_600_000
	maxTokens        = 1 << 30
)
