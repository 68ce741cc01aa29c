package admitter

// shareQueueSlots is the number of waiting requests for each slot from which a plain server's queue is kept for requests
// that are within their share. Plain servers turn requests away when four wait for each slot; half of that is left.
const shareQueueSlots = 2

// ShareRefusalInput describes a request to a plain server and what is known of the server.
type ShareRefusalInput struct {
	// OverShare means that the request is over its organisation's share.
	OverShare bool
	// Full means that no server has a free place, Fresh that this was reported recently.
	Full, Fresh bool
	// Busy is the number of requests that run or wait at the least loaded server, Slots the number of its places.
	Busy, Slots int
}

// RefusesOverShare reports whether a request to a plain server is refused because its organisation is over its share. It
// is made for a flood of one organisation whose requests fill the queues of all servers, which then turn away everyone's.
// The flood is refused while there is still room in the queues for the others.
func RefusesOverShare(in ShareRefusalInput) bool {
	return in.OverShare && in.Full && in.Fresh && in.Slots > 0 && in.Busy >= (1+shareQueueSlots)*in.Slots
}
