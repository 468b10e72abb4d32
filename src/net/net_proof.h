/* Handshake messages of a peer link, and the proof that a peer has the shared key. */
#pragma once

#include "base/gr_err.h"
#include "base/gr_vm.h"

#define NET_NONCE_BYTES 16
#define NET_PROOF_BYTES 32

typedef struct {
  GrVmRef vm;
  GrName region;
  unsigned char nonce[NET_NONCE_BYTES];
} NetHello;

/* HMAC-SHA256 under key over the prover's hello and the verifier's hello, in this order. A proof is
   therefore valid for one connection and one direction only. */
void net_proof_make (GrStr key, const NetHello *prover, const NetHello *verifier,
                     unsigned char proof[NET_PROOF_BYTES]);
/* Compares in constant time. */
bool net_proof_equal (const unsigned char *a, const unsigned char *b);

/* Message bodies: ["hello", vm, incarnation, region, nonce] and ["proof", [proof, ...]]. */
void net_hello_encode (const NetHello *hello, GrBuf *out);
bool net_hello_decode (GrStr body, NetHello *hello, GrErr *err);
void net_proof_encode (const unsigned char proofs[][NET_PROOF_BYTES], size_t count, GrBuf *out);
/* Decodes at most max proofs; more are an error. */
bool net_proof_decode (GrStr body, unsigned char proofs[][NET_PROOF_BYTES], size_t max,
                       size_t *count, GrErr *err);
