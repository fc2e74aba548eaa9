package matcher

// ManifestFormat is the format of manifests that this version decodes. A daemon of an earlier version
// drops fields that it does not know, and passes the manifest on without them.
const ManifestFormat = formatKeysRequired

// Formats, by the fields that each added.
const (
	formatAllowedRegions = 1
	formatKeysRequired   = 2
)

// MayLackRegions reports whether a daemon of an earlier version may have dropped allowed regions.
func (m *Manifest) MayLackRegions() bool { return m.Format < formatAllowedRegions }

// MayLackKeys reports whether a daemon of an earlier version may have dropped that requests need a key. It
// does not tell an empty list of customers from none.
func (m *Manifest) MayLackKeys() bool { return m.Format < formatKeysRequired && len(m.Customers) == 0 }

// ForPeers returns the manifest in the form in which peers get it. A daemon of an earlier version lets every request
// in if there is no customer; an empty list thus gets one without a key.
func (m *Manifest) ForPeers() *Manifest {
	if !m.KeysRequired || len(m.Customers) > 0 {
		return m
	}
	sent := *m
	sent.Customers = []Customer{{}}
	return &sent
}

// FromPeer returns the manifest that a peer has sent in the form of ForPeers.
func (m *Manifest) FromPeer() *Manifest {
	if m.KeysRequired && len(m.Customers) == 1 && m.Customers[0].Name == "" && len(m.Customers[0].Keys) == 0 {
		m.Customers = nil
	}
	return m
}
