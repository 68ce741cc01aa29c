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
)

var (
	errMessageType = errors.New("message type is unknown")
	errTruncated   = errors.New("message is truncated")
)

// maxRowBytes is the largest size of one backend server's row: its short ID and two numbers.
const maxRowBytes = 4 + 2*binary.MaxVarintLen32

// encodeWork writes the message type and a row for each backend server: its short ID, the
// unanswered requests and the backlog in milliseconds. It leaves out rows beyond maxMessageBytes.
func encodeWork(work map[model.BackendID]OpenWork) []byte {
	b := []byte{messageWork}
	for id, w := range work {
		if len(b)+maxRowBytes > maxMessageBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, shortID(id))
		b = binary.AppendUvarint(b, uint64(max(w.Unanswered, 0)))
		b = binary.AppendUvarint(b, uint64(max(w.Backlog.Milliseconds(), 0)))
	}
	return b
}

func decodeWork(b []byte) (map[uint32]OpenWork, error) {
	if len(b) == 0 || b[0] != messageWork {
		return nil, errMessageType
	}
	b = b[1:]
	out := map[uint32]OpenWork{}
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, errTruncated
		}
		id := binary.BigEndian.Uint32(b)
		b = b[4:]
		unanswered, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, errTruncated
		}
		backlog, m := binary.Uvarint(b[n:])
		if m <= 0 {
			return nil, errTruncated
		}
		b = b[n+m:]
		out[id] = OpenWork{Unanswered: int(min(unanswered, maxUnanswered)), Backlog: time.Duration(min(backlog, maxBacklogMillis)) * time.Millisecond}
	}
	return out, nil
}

// maxUnanswered and maxBacklogMillis bound the values that are taken from a message: more requests than an
// entry can hold, and an hour.
const (
	maxUnanswered    = 1 << 20
	maxBacklogMillis = 3_600_000
)
