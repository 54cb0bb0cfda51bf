package yuccaadmission

import "yuccawell.example/core/yuccastore"

// claim is the number of slots that an entry may use of a pool.
type claim struct {
	entry string
	slots int
}

// dealt says which slots of which server belong to an entry. Units are the
// slots' numbers on the server, from 0.
type dealt struct {
	server string
	units  []int
}

// deal divides the slots of servers over claims and returns the part of entry
// self. Every entry that sees the same servers and claims computes the same
// division, in which no slot has two owners. An entry's slots are spread over
// as many servers as possible.
func deal(self string, servers []yuccastore.Instance, claims []claim) []dealt {
	if len(claims) == 0 {
		return nil
	}
	d := newDealer(claims)
	var mine []dealt
	index := make(map[string]int, len(servers))
	for unit := range maxSlots(servers) {
		for _, s := range servers {
			if s.Slots <= unit {
				continue
			}
			owner := d.next(s.Name)
			if owner < 0 || claims[owner].entry != self {
				continue
			}
			at, ok := index[s.Name]
			if !ok {
				at = len(mine)
				index[s.Name] = at
				mine = append(mine, dealt{server: s.Name})
			}
			mine[at].units = append(mine[at].units, unit)
		}
	}
	return mine
}

func maxSlots(servers []yuccastore.Instance) int {
	most := 0
	for _, s := range servers {
		most = max(most, s.Slots)
	}
	return most
}

// dealer hands slots to the claim that has the fewest on the server, and of
// those to the one with the greatest part of its claim open.
type dealer struct {
	claims []claim
	left   []int
	on     map[string][]uint16
}

func newDealer(claims []claim) *dealer {
	d := &dealer{claims: claims, left: make([]int, len(claims)), on: map[string][]uint16{}}
	for i, c := range claims {
		d.left[i] = c.slots
	}
	return d
}

func (d *dealer) next(server string) int {
	on, ok := d.on[server]
	if !ok {
		on = make([]uint16, len(d.claims))
		d.on[server] = on
	}
	best := -1
	for i := range d.claims {
		if d.left[i] > 0 && (best < 0 || d.before(on, i, best)) {
			best = i
		}
	}
	if best >= 0 {
		on[best]++
		d.left[best]--
	}
	return best
}

func (d *dealer) before(on []uint16, i, j int) bool {
	if on[i] != on[j] {
		return on[i] < on[j]
	}
	return d.left[i]*d.claims[j].slots > d.left[j]*d.claims[i].slots
}
