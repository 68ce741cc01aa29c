package picker

import (
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	// usualDomainRoundTrip and usualRegionRoundTrip are connect times up to which the constant penalties hold. They were
	// chosen for links of 0.5 ms one way between failure domains and 12 ms between regions; half a millisecond is added
	// for each end, which takes longer than the link to accept a connection when it is busy.
	usualDomainRoundTrip = 1500 * time.Microsecond
	usualRegionRoundTrip = 25 * time.Millisecond
	// linkRoundTrips is how often a request crosses the link before its answer begins: to connect and to answer.
	linkRoundTrips = 2
	// maxDomainWaitPenalty and maxRegionWaitPenalty bound the cost of a link whose connect times are wrong or out of all
	// proportion: an engine far away must still be worth more than one with a backlog of a usual prompt or two.
	maxDomainWaitPenalty = 40 * time.Millisecond
	maxRegionWaitPenalty = 240 * time.Millisecond
)

// distanceWait returns what it costs to send a request to another failure domain or region, given the connect time that
// the entry measured towards it, 0 if none. It is made for deployments whose links are longer than those that the
// constants were chosen for, such as 4.5 ms one way between failure domains, where requests went to other domains for
// gains that the way used up. Links that are as short as usual or shorter cost what they did.
func distanceWait(place, self model.Place, roundTrip time.Duration) time.Duration {
	switch {
	case place.Region != self.Region:
		return linkCost(roundTrip, usualRegionRoundTrip, regionWaitPenalty, maxRegionWaitPenalty)
	case place.Domain != self.Domain:
		return linkCost(roundTrip, usualDomainRoundTrip, domainWaitPenalty, maxDomainWaitPenalty)
	}
	return 0
}

func linkCost(roundTrip, usual, least, most time.Duration) time.Duration {
	return min(least+linkRoundTrips*max(roundTrip-usual, 0), most)
}

// distanceLoad is distanceWait in terms of the load of plain servers: the penalty grows as the wait does.
func distanceLoad(place, self model.Place, roundTrip time.Duration) float64 {
	wait := float64(distanceWait(place, self, roundTrip))
	return distanceCost(place, self, domainPenalty*wait/float64(domainWaitPenalty), regionPenalty*wait/float64(regionWaitPenalty))
}
