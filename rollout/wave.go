package rollout

import (
	"fmt"
	"slices"
)

// wave is a set of nodes that change at the same time. It counts how many of them each rack and each title has.
type wave struct {
	nodeSet  *nodeSet
	racks    map[int]int // by rack
	titles   map[int]int // by index of the title
	maxNodes int
	size     int // nodes in the wave
}

// newWave returns an empty wave of at most maxNodes nodes.
func (s *nodeSet) newWave(maxNodes int) *wave {
	return &wave{nodeSet: s, racks: map[int]int{}, titles: map[int]int{}, maxNodes: maxNodes}
}

// conflict returns the constraint that a further node in these cells would violate, nil if there is none.
func (w *wave) conflict(cells ...int) *conflict {
	if w.size >= w.maxNodes {
		return &conflict{BlockedByWarming, "no more nodes may be warming up at this time"}
	}
	for _, c := range cells {
		if w.racks[c%w.nodeSet.constraints.Racks] >= w.nodeSet.constraints.MaxPerRack {
			return &conflict{BlockedByRack,
				fmt.Sprintf("rack %d already has the allowed number of nodes in transition", c%w.nodeSet.constraints.Racks)}
		}
		for _, t := range w.nodeSet.byCell[c] {
			if w.titles[t] >= w.nodeSet.constraints.MaxPerTitle {
				return &conflict{BlockedByTitleHolders,
					"title " + w.nodeSet.titles[t].Name + " already has the allowed number of holders in transition"}
			}
		}
	}
	return nil
}

// add counts a node in the wave. A rack or title that several of its cells share counts once.
func (w *wave) add(cells ...int) {
	w.size++
	slices.Sort(cells)
	racks, titles := map[int]bool{}, map[int]bool{}
	for _, c := range slices.Compact(cells) {
		racks[c%w.nodeSet.constraints.Racks] = true
		for _, t := range w.nodeSet.byCell[c] {
			titles[t] = true
		}
	}
	for r := range racks {
		w.racks[r]++
	}
	for t := range titles {
		w.titles[t]++
	}
}
