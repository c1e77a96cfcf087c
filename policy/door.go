package policy

// door maps ids of one kind to small indices. An index is handed out again once its id has left,
// so the door holds no more than are inside at one time.
type door[K comparable] struct {
	in   map[K]int
	free []int
	size int
}

func newDoor[K comparable]() door[K] { return door[K]{in: map[K]int{}} }

// enter gives an id an index; the second value tells that the index lies past all earlier ones.
func (d *door[K]) enter(id K) (index int, grown bool) {
	if n := len(d.free); n > 0 {
		index = d.free[n-1]
		d.free = d.free[:n-1]
	} else {
		index, grown = d.size, true
		d.size++
	}
	d.in[id] = index
	return index, grown
}

func (d *door[K]) find(id K) (int, bool) {
	index, ok := d.in[id]
	return index, ok
}

func (d *door[K]) leave(id K) {
	if index, ok := d.in[id]; ok {
		delete(d.in, id)
		d.free = append(d.free, index)
	}
}
