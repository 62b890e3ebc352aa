package aubstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

const (
	// digestLength is the length of a digest in hexadecimal digits.
	digestLength = 12
	// bytesPerToken is the number of prompt bytes that count as one token in the time model.
	bytesPerToken = 4
)

// Digest returns the short digest of a prompt that its answers contain.
func Digest(model, prompt string) string {
	sum := sha256.Sum256([]byte(model + "\x00" + prompt))
	return hex.EncodeToString(sum[:])[:digestLength]
}

// ChatPrompt returns the prompt text of a chat with one user message.
func ChatPrompt(content string) string { return chatLine("user", content) }

// AnswerText returns the text that a stand-in engine generates: each token holds
// the digest of the prompt and the token's position.
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
