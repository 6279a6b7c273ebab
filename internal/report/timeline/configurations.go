package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const maxVersions = 20000

// Adoption describes when nodes applied a configuration version.
type Adoption struct {
	Nodes               int
	First, Last         time.Time
	FirstNode, LastNode string
}

// Version is one version of the configuration.
type Version struct {
	Number int64
	// Running are the nodes that applied it while running, and those whose start is not in the logs; Starting are those
	// for which it was the first version after their start.
	Running, Starting Adoption
}

type configurationRecord struct {
	Config int64 `json:"config"`
}

func (b *Builder) addConfiguration(line header, raw []byte) error {
	var record configurationRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	b.progress.add(line.Time)
	isStarting := b.starting[line.Node]
	delete(b.starting, line.Node)
	version := b.versions[record.Config]
	if version == nil && len(b.versions) >= maxVersions {
		b.timeline.Lines.Omitted++
		return nil
	}
	if version == nil {
		version = &Version{Number: record.Config}
		b.versions[record.Config] = version
	}
	if isStarting {
		version.Starting.add(line)
	} else {
		version.Running.add(line)
	}
	return nil
}

// add counts a node. Ties in time are broken by name, so that the result is independent of the order of files.
func (a *Adoption) add(line header) {
	at := time.UnixMilli(line.Time)
	if a.Nodes == 0 || cmp.Or(at.Compare(a.First), cmp.Compare(line.Node, a.FirstNode)) < 0 {
		a.First, a.FirstNode = at, line.Node
	}
	if a.Nodes == 0 || cmp.Or(at.Compare(a.Last), cmp.Compare(line.Node, a.LastNode)) > 0 {
		a.Last, a.LastNode = at, line.Node
	}
	a.Nodes++
}

// Spread returns the time from the first node to the last.
func (a *Adoption) Spread() time.Duration { return a.Last.Sub(a.First) }

func (b *Builder) sortedVersions() []Version {
	versions := make([]Version, 0, len(b.versions))
	for _, version := range b.versions {
		versions = append(versions, *version)
	}
	slices.SortFunc(versions, func(a, b Version) int { return cmp.Compare(a.Number, b.Number) })
	return versions
}
