package policy

// indexMap maps ids of one kind to small indices. An index is handed out again once its id has left,
// so the door holds no more than are inside at one time.
type indexMap[K comparable] struct {
	indices map[K]int
	free    []int
	size    int
}

func newIndexMap[K comparable]() indexMap[K] { return indexMap[K]{indices: map[K]int{}} }

// assign gives an id an index; the second value tells that the index lies past all earlier ones.
func (d *indexMap[K]) assign(id K) (index int, grown bool) {
	if n := len(d.free); n > 0 {
		index = d.free[n-1]
		d.free = d.free[:n-1]
	} else {
		index, grown = d.size, true
		d.size++
	}
	d.indices[id] = index
	return index, grown
}

func (d *indexMap[K]) find(id K) (int, bool) {
	index, ok := d.indices[id]
	return index, ok
}

func (d *indexMap[K]) release(id K) {
	if index, ok := d.indices[id]; ok {
		delete(d.indices, id)
		d.free = append(d.free, index)
	}
}
