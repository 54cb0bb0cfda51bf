package yuccaadmission

import "yuccawell.example/core/yuccastore"

// quota is the number of slots of a pool that an entry may use.
type quota struct {
	// entry is the name of the entry.
	entry string
	// slots is the number of slots.
	slots int
}

// assignment lists the slots of one server that belong to an entry.
type assignment struct {
	// server is the name of the server.
	server string
	// slotNumbers are the numbers of the slots on the server, from 0.
	slotNumbers []int
}

// assignSlots divides the slots of the servers among the quotas and returns the
// part of the entry self. Every entry that sees the same servers and quotas
// computes the same division, in which no slot has two owners. An entry's slots
// are spread over as many servers as possible.
func assignSlots(self string, servers []yuccastore.Instance, quotas []quota) []assignment {
	if len(quotas) == 0 {
		return nil
	}
	d := newSlotAssigner(quotas)
	var mine []assignment
	index := make(map[string]int, len(servers))
	for slot := range maxSlots(servers) {
		for _, s := range servers {
			if s.Slots <= slot {
				continue
			}
			owner := d.nextOwner(s.Name)
			if owner < 0 || quotas[owner].entry != self {
				continue
			}
			pos, ok := index[s.Name]
			if !ok {
				pos = len(mine)
				index[s.Name] = pos
				mine = append(mine, assignment{server: s.Name})
			}
			mine[pos].slotNumbers = append(mine[pos].slotNumbers, slot)
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

// slotAssigner assigns slots one by one. A slot goes to the quota that has the
// fewest slots on the server and, among equals, to the one with the largest
// unassigned fraction.
type slotAssigner struct {
	// quotas holds the quota of each entry.
	quotas []quota
	// remaining holds the unassigned slots of each quota.
	remaining []int
	// perServer counts the slots that each quota has on a server.
	perServer map[string][]uint16
}

func newSlotAssigner(quotas []quota) *slotAssigner {
	d := &slotAssigner{quotas: quotas, remaining: make([]int, len(quotas)), perServer: map[string][]uint16{}}
	for i, c := range quotas {
		d.remaining[i] = c.slots
	}
	return d
}

// nextOwner assigns one slot of the server and returns the index of the quota
// that gets it, or -1 when all quotas are used up.
func (d *slotAssigner) nextOwner(server string) int {
	counts, ok := d.perServer[server]
	if !ok {
		counts = make([]uint16, len(d.quotas))
		d.perServer[server] = counts
	}
	best := -1
	for i := range d.quotas {
		if d.remaining[i] > 0 && (best < 0 || d.precedes(counts, i, best)) {
			best = i
		}
	}
	if best >= 0 {
		counts[best]++
		d.remaining[best]--
	}
	return best
}

// precedes reports whether quota i gets the next slot before quota j.
func (d *slotAssigner) precedes(counts []uint16, i, j int) bool {
	if counts[i] != counts[j] {
		return counts[i] < counts[j]
	}
	return d.remaining[i]*d.quotas[j].slots > d.remaining[j]*d.quotas[i].slots
}
