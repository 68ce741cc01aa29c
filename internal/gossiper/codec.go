package gossiper

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// The first byte of a message tells its form; other forms are not read.
const (
	form     = 1
	formNews = 2
)

var (
	errForm      = errors.New("message has another form")
	errTruncated = errors.New("message is cut")
)

// maxRow is the largest size of one backend server's row: its name and two numbers.
const maxRow = 4 + 2*binary.MaxVarintLen32

// encode writes the form, and a row for each backend server: its short name, the open requests
// and the backlog in milliseconds. Rows beyond the largest message are left out.
func encode(work map[model.BackendID]OpenWork) []byte {
	b := []byte{form}
	for id, w := range work {
		if len(b)+maxRow > maxMessage {
			break
		}
		b = binary.BigEndian.AppendUint32(b, short(id))
		b = binary.AppendUvarint(b, uint64(max(w.Open, 0)))
		b = binary.AppendUvarint(b, uint64(max(w.Backlog.Milliseconds(), 0)))
	}
	return b
}

func decode(b []byte) (map[uint32]OpenWork, error) {
	if len(b) == 0 || b[0] != form {
		return nil, errForm
	}
	b = b[1:]
	out := map[uint32]OpenWork{}
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, errTruncated
		}
		id := binary.BigEndian.Uint32(b)
		b = b[4:]
		open, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, errTruncated
		}
		backlog, m := binary.Uvarint(b[n:])
		if m <= 0 {
			return nil, errTruncated
		}
		b = b[n+m:]
		out[id] = OpenWork{Open: int(min(open, maxOpen)), Backlog: time.Duration(min(backlog, maxBacklog)) * time.Millisecond}
	}
	return out, nil
}

// maxOpen and maxBacklog bound what a message can claim: more requests than an entry can hold,
// and an hour.
const (
	maxOpen    = 1 << 20
	maxBacklog = 3_600_000
)
