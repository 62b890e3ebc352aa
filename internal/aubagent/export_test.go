package aubagent

// HideUsage exports hideUsage; data is the data of one event.
func HideUsage(data []byte) []byte {
	c, _ := parseChunk(data)
	raw := append(append([]byte("data: "), data...), "\n\n"...)
	return hideUsage(raw, data, c)
}
