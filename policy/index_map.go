package policy

// indexMap assigns small indexes to ids. The index of a released id is assigned again, so that the indexes stay below
// the largest number of ids assigned at one time.
type indexMap[K comparable] struct {
	indices map[K]int
	free    []int
	size    int
}

func newIndexMap[K comparable]() indexMap[K] { return indexMap[K]{indices: map[K]int{}} }

// assign assigns an index to an id that has none. grown reports that the index is higher than all assigned
// before.
func (m *indexMap[K]) assign(id K) (index int, grown bool) {
	if n := len(m.free); n > 0 {
		index = m.free[n-1]
		m.free = m.free[:n-1]
	} else {
		index, grown = m.size, true
		m.size++
	}
	m.indices[id] = index
	return index, grown
}

func (m *indexMap[K]) find(id K) (int, bool) {
	index, ok := m.indices[id]
	return index, ok
}

func (m *indexMap[K]) release(id K) {
	if index, ok := m.indices[id]; ok {
		delete(m.indices, id)
		m.free = append(m.free, index)
	}
}
