package scenario

import (
	"fmt"
	"math"
	"time"
)

// Node is one node of the fleet.
type Node struct {
	Name string
	Zone string
}

// Node describes node i. Nodes are assigned to the zones round-robin.
func (s *Scenario) Node(i int) Node {
	return Node{Name: fmt.Sprintf("n%d", i), Zone: s.Zones[i%len(s.Zones)].Name}
}

// Server is one backend.
type Server struct {
	Name        string
	Zone        string
	MachineType MachineType
	Cell        int
}

// nameSeedFactor is odd and thus invertible modulo 2^32, so that different seeds
// give a server different names.
const nameSeedFactor = 0x9e3779b9

// Server describes server i. Servers i+Servers.Count, i+2*Servers.Count and so on
// are successors of server i, with new names but the same zone, cell and machine
// type.
func (s *Scenario) Server(i int) Server {
	slot := i % s.Servers.Count
	zone := slot % len(s.Zones)
	row := slot / len(s.Zones)
	return Server{
		Name:        fmt.Sprintf("s-%08x", scramble(uint32(i)+uint32(s.Seed)*nameSeedFactor)),
		Zone:        s.Zones[zone].Name,
		MachineType: s.machineTypeOf(row),
		Cell:        row/s.Servers.CellSize*len(s.Zones) + zone,
	}
}

// goldenRatio is the fractional part of the golden ratio. The fractional parts of
// its multiples fill the unit interval evenly.
const goldenRatio = 0.6180339887498949

// machineTypeOf returns the machine type of a server, given its position among the
// servers of its zone. The types are spread evenly, in proportion to their shares.
func (s *Scenario) machineTypeOf(row int) MachineType {
	types := s.Servers.MachineTypes
	total := 0.0
	for _, m := range types {
		total += m.Share
	}
	left := total * math.Mod((float64(row)+0.5)*goldenRatio, 1)
	for _, m := range types {
		left -= m.Share
		if left < 0 {
			return m
		}
	}
	return types[len(types)-1]
}

// scramble is the finalizer of MurmurHash3. It maps different values to different
// values, so that server names are unique.
func scramble(x uint32) uint32 {
	x = (x ^ x>>16) * 0x85ebca6b
	x = (x ^ x>>13) * 0xc2b2ae35
	return x ^ x>>16
}

// Region returns the region of a zone, or "" if there is no such zone.
func (s *Scenario) Region(zone string) string {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// Delay returns the one-way network delay between two zones, without jitter.
func (s *Scenario) Delay(from, to string) time.Duration {
	switch {
	case from == to:
		return s.Network.SameZone.Std()
	case s.Region(from) == s.Region(to):
		return s.Network.SameRegion.Std()
	}
	return s.Network.CrossRegion.Std()
}

// MeanWork returns the mean execution time of a request over all classes, on a
// core of speed 1.
func (s *Scenario) MeanWork() time.Duration {
	work := 0.0
	shares := 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	return time.Duration(work / shares * float64(time.Second))
}

// MaxDeadline returns the longest deadline of all classes.
func (s *Scenario) MaxDeadline() time.Duration {
	longest := Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest.Std()
}

// TenantName returns the name of tenant i.
func TenantName(i int) string { return fmt.Sprintf("t%05d", i) }
