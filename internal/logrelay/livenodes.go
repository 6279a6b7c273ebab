package logrelay

// LiveNode is a live node of the cluster.
type LiveNode struct {
	Node    string
	Zone    string
	Address string
}

// LiveNodes returns the live nodes, including this one.
func (d *Directory) LiveNodes() []LiveNode {
	d.mu.Lock()
	defer d.mu.Unlock()
	nodes := []LiveNode{{Node: d.own.Node, Zone: d.own.Zone, Address: d.own.Address}}
	for node, each := range d.members {
		if d.isAlive(node) {
			nodes = append(nodes, LiveNode{Node: node, Zone: each.Zone, Address: each.Address})
		}
	}
	return nodes
}
