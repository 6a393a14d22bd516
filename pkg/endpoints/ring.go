package endpoints

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring contains the endpoints of a service in the order of Endpoint.point, those of the
// gateway's own failure domain apart. Endpoints can be drawn at random and found by a hash
// without a pass over all of them. The slices are replaced, never changed.
type ring struct {
	home, other []*Endpoint
}

// insert adds an endpoint.
func (r ring) insert(endpoint *Endpoint, isHome bool) ring {
	if isHome {
		r.home = insertAt(r.home, endpoint)
	} else {
		r.other = insertAt(r.other, endpoint)
	}
	return r
}

// remove removes an endpoint.
func (r ring) remove(endpoint *Endpoint) ring {
	isEndpoint := func(other *Endpoint) bool { return other == endpoint }
	r.home = slices.DeleteFunc(slices.Clone(r.home), isEndpoint)
	r.other = slices.DeleteFunc(slices.Clone(r.other), isEndpoint)
	return r
}

func insertAt(list []*Endpoint, endpoint *Endpoint) []*Endpoint {
	index, _ := search(list, endpoint.point)
	result := make([]*Endpoint, 0, len(list)+1)
	return append(append(append(result, list[:index]...), endpoint), list[index:]...)
}

func search(list []*Endpoint, point uint64) (index int, found bool) {
	return slices.BinarySearchFunc(list, point, func(e *Endpoint, point uint64) int { return cmp.Compare(e.point, point) })
}

// ownerProbes is the number of hashes of a key with which owner looks for the nearest
// endpoint. With one, some endpoints own several times the mean share of the keys.
const ownerProbes = 5

// owner returns the endpoint that the key prefers; nil if the list is empty. All gateways
// that know the same endpoints agree on it, and a new endpoint takes over only the keys of
// which it becomes the owner.
func owner(list []*Endpoint, key string) (best *Endpoint) {
	if len(list) == 0 {
		return nil
	}
	var bestDistance uint64
	point := xxhash.Sum64String(key)
	for range ownerProbes {
		index, _ := search(list, point)
		next := list[index%len(list)]
		if distance := next.point - point; best == nil || distance < bestDistance {
			best, bestDistance = next, distance
		}
		point = nextRandom(point)
	}
	return best
}

// nextRandom returns the number after a pseudorandom one, by the splitmix64 generator.
func nextRandom(state uint64) uint64 {
	state += 0x9e3779b97f4a7c15
	state = (state ^ state>>30) * 0xbf58476d1ce4e5b9
	state = (state ^ state>>27) * 0x94d049bb133111eb
	return state ^ state>>31
}
