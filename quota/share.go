package quota

const (
	// leastWidePart is the least part of the known gateways that a wide view reaches, if they are in
	// several zones. Half of a single zone may be cut off from the other half.
	leastWidePart = 1.0 / 3
	// silentPart is the part of its even share that is left to a gateway that reports to
	// nobody, although others of its zone do. It has probably ended; if not, it is cut off
	// and serves few.
	silentPart = 0.5
)

// Reach is how many gateways of an availability zone are known and how many are reached.
type Reach struct{ Known, Reached int }

// Share returns the part of a quota that the gateways which reach each other may use, by how many of
// each zone they reach, this one included. wide states that they are probably no minority.
//
// The shares of parts that don't reach each other add up to one at most, as long as a zone belongs to
// one wide part only. A zone of which no gateway is heard may be cut off and go on with callers of its
// own, so its even share is left to it. Of a zone of which some are heard, the others get silentPart.
func Share(zones []Reach) (share float64, wide bool) {
	known, reached, covered := 0, 0, 0
	left := 0.0
	for _, z := range zones {
		known += z.Known
		reached += z.Reached
		if z.Reached == 0 {
			left += float64(z.Known)
			continue
		}
		covered++
		left += silentPart * float64(z.Known-z.Reached)
	}
	if known == 0 {
		return 0, false
	}
	n, r := float64(known), float64(reached)
	severalZones := covered > 1 && r >= leastWidePart*n
	switch {
	case 2*covered >= len(zones) && (severalZones || 2*r > n):
		return 1 - left/n, true
	case 2*r >= n:
		return r / n, false
	}
	return silentPart * r / n, false
}
