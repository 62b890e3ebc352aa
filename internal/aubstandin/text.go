package aubstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

const (
	digestLength = 12
	// bytesPerToken is how many prompt bytes make one token in the time model.
	bytesPerToken = 4
)

// Digest returns the short digest by which answers name their prompt.
func Digest(model, prompt string) string {
	sum := sha256.Sum256([]byte(model + "\x00" + prompt))
	return hex.EncodeToString(sum[:])[:digestLength]
}

// ChatPrompt returns the prompt text of a chat with one user message.
func ChatPrompt(content string) string { return chatLine("user", content) }

// AnswerText returns the text that an engine answers with: each token names the
// prompt's digest and its own position.
func AnswerText(model, prompt string, tokens int) string {
	digest := Digest(model, prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(tokenText(digest, i))
	}
	return text.String()
}

func tokenText(digest string, position int) string {
	return digest + "-" + strconv.Itoa(position) + " "
}

func chatLine(role, content string) string { return role + ":" + content + "\n" }

func countTokens(text string) int64 {
	return int64((len(text) + bytesPerToken - 1) / bytesPerToken)
}
