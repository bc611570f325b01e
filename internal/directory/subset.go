package directory

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// dispatchersPerRunner is the number of dispatchers that are linked to each
// runner, if there are as many. A runner's links and those of a dispatcher then
// don't grow with the fleet, as long as both kinds of process grow alike.
const dispatchersPerRunner = 12

// RunnersOf returns the runners to which the dispatcher with the given name is
// linked. Each runner is linked to the dispatchers that rank first for it
// (rendezvous hashing). So all dispatchers with the same directory choose alike,
// each runner has dispatchersPerRunner links, and a dispatcher that comes or goes
// moves only its own links.
func RunnersOf(name string, dispatchers, runners []Node) []Node {
	ranking := newRanking(name, dispatchers)
	var linked []Node
	for _, n := range runners {
		if ranking.rank(n.Name) < dispatchersPerRunner {
			linked = append(linked, n)
		}
	}
	return linked
}

// ranking holds the hashes of one dispatcher and of the others.
type ranking struct {
	self   uint64
	others []uint64
}

func newRanking(name string, dispatchers []Node) *ranking {
	r := &ranking{self: HashName(name)}
	for _, n := range dispatchers {
		if n.Name != name {
			r.others = append(r.others, HashName(n.Name))
		}
	}
	return r
}

// rank counts the other dispatchers that rank before self for the runner, up to
// dispatchersPerRunner.
func (r *ranking) rank(runner string) int {
	h := HashName(runner)
	own := mix(r.self ^ h)
	before := 0
	for _, other := range r.others {
		if mix(other^h) >= own {
			continue
		}
		before++
		if before == dispatchersPerRunner {
			break
		}
	}
	return before
}

// PeersOf returns the dispatchers to which the dispatcher with the given name
// opens a stream: those at the distances 1, 2, 4, … in a ring of all
// dispatchers, ordered by the hash of their names. Streams carry changes in both
// directions, so a change reaches all n dispatchers in about log2(n)/2 hops, and
// no single loss separates the ring.
func PeersOf(name string, dispatchers []Node) []Node {
	hashes := make(map[string]uint64, len(dispatchers))
	for _, n := range dispatchers {
		hashes[n.Name] = HashName(n.Name)
	}
	ring := slices.Clone(dispatchers)
	slices.SortFunc(ring, func(a, b Node) int {
		return cmp.Or(cmp.Compare(hashes[a.Name], hashes[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	self := slices.IndexFunc(ring, func(n Node) bool { return n.Name == name })
	if self < 0 {
		return nil
	}
	var peers []Node
	for distance := 1; distance < len(ring); distance *= 2 {
		peers = append(peers, ring[(self+distance)%len(ring)])
	}
	return peers
}

// HashName returns a hash of a node's name, of which every bit depends on every
// byte of the name.
func HashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix returns a value that depends on every bit of x (the finalizer of
// SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
