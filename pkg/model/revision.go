package model

import "fmt"

// Revision is a position in the changes of the store. It holds the number of the store's history, its era, above the
// number of the change within it, so that revisions of a restored store are above all that it gave out before.
// Revisions of stores that never lose changes have era 0.
type Revision uint64

// Era is the number of a history of the store. It rises when the store comes back from a copy and has lost changes.
type Era uint32

const (
	changeBits = 44
	// MaxEra and MaxChange are the largest era and the largest number of a change that a Revision holds.
	MaxEra    = 1<<(64-changeBits) - 1
	MaxChange = 1<<changeBits - 1
)

// NewRevision returns the position of a change within an era. Both must be within MaxEra and MaxChange.
func NewRevision(e Era, change int64) Revision { return Revision(e)<<changeBits | Revision(change) }

// Era returns the history to which the revision belongs.
func (r Revision) Era() Era { return Era(r >> changeBits) }

// Change returns the number of the change within its era.
func (r Revision) Change() int64 { return int64(r & MaxChange) }

// String formats the revision as its number, with the era before it unless that is 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Change())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Change())
}
