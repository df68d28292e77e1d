;; Tags a share of all requests for export, chosen by a hash of the id, so that a repeated request gets the same
;; result. Counts all requests that it has seen, and transfers the count to the next version.
(module
  (import "calicomast" "setting_number" (func $number (param i32 i32) (result f64)))
  (import "calicomast" "count" (func $count (param i32 i32 f64)))
  (memory (export "memory") 1)
  (global (export "calicomast_abi") i32 (i32.const 1))
  (global (export "calicomast_input") i32 (i32.const 4096))
  (global (export "calicomast_input_size") i32 (i32.const 32768))

  (data (i32.const 0) "share")
  (data (i32.const 16) "marked")
  (data (i32.const 512) "tag export 1")
  ;; 1024: number of requests seen, 8 bytes

  (global $share (mut f64) (f64.const -1))

  ;; Return the FNV-1a hash of the id, which is the first string.
  (func $hash (result i32)
    (local $address i32) (local $end i32) (local $hash i32)
    (local.set $address (i32.load (i32.const 4152)))
    (local.set $end (i32.add (local.get $address) (i32.load (i32.const 4156))))
    (local.set $hash (i32.const 0x811c9dc5))
    (block $done
      (loop $next
        (br_if $done (i32.ge_u (local.get $address) (local.get $end)))
        (local.set $hash
          (i32.mul (i32.xor (local.get $hash) (i32.load8_u (local.get $address))) (i32.const 0x01000193)))
        (local.set $address (i32.add (local.get $address) (i32.const 1)))
        (br $next)))
    ;; The low bits of an FNV hash are mixed better; ids often differ only in their last digit.
    (i32.xor (local.get $hash) (i32.shr_u (local.get $hash) (i32.const 15))))

  (func (export "on_request") (param $length i32) (result i64)
    (i64.store (i32.const 1024) (i64.add (i64.load (i32.const 1024)) (i64.const 1)))
    (if (f64.lt (global.get $share) (f64.const 0))
      (then (global.set $share (call $number (i32.const 0) (i32.const 5)))))
    (if (f64.ge (f64.div (f64.convert_i32_u (i32.and (call $hash) (i32.const 0xffff))) (f64.const 65536))
                (global.get $share))
      (then (return (i64.const 0))))
    (call $count (i32.const 16) (i32.const 6) (f64.const 1))
    (i64.const 0x2000000000c))

  (func (export "on_save") (result i64) (i64.const 0x40000000008))

  (func (export "on_load") (param $length i32) (result i32)
    (if (i32.ne (local.get $length) (i32.const 8)) (then (return (i32.const 1))))
    (i64.store (i32.const 1024) (i64.load (i32.const 4096)))
    (i32.const 0))

  (func (export "self_test") (result i32)
    (f64.ne (call $number (i32.const 0) (i32.const 5)) (call $number (i32.const 0) (i32.const 5)))))
